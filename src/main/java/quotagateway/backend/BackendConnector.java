package quotagateway.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import quotagateway.policy.event.Status;
import quotagateway.transport.ConnectFailure;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;

/**
 * Opens a connection to a backend for an attempt, and counts it against the connection budget.
 * Confined to the event loop's thread.
 */
final class BackendConnector {

  private final MonotonicClock clock;
  private final Dialer dialer;
  private final ConnectionBudget budget;
  private final PeerMemory memory;
  private final IdleConnectionReuse reuse;

  BackendConnector(
      MonotonicClock clock,
      Dialer dialer,
      ConnectionBudget budget,
      PeerMemory memory,
      IdleConnectionReuse reuse) {
    this.clock = clock;
    this.dialer = dialer;
    this.budget = budget;
    this.memory = memory;
    this.reuse = reuse;
  }

  /**
   * Opens a connection and then writes the attempt's request to it, or ends the attempt if the
   * connection cannot be used.
   */
  void connect(BackendConnections backend, Attempt attempt) {
    budget.addBackendConnections(1);
    backend.connectStarted(attempt);
    ResponseDecoder decoder = new ResponseDecoder();
    BackendConnection connection =
        new BackendConnection(backend, backend.address(), decoder, clock, memory, reuse);
    ChannelInitializer<Channel> initializer =
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
          }
        };
    ChannelFuture connectFuture =
        attempt.awaitsConnection()
            ? dialer.dialPatiently(backend.address(), initializer)
            : dialer.dial(backend.address(), initializer);
    connectFuture.addListener((ChannelFuture result) -> releaseWhenClosed(result, backend));
    connectFuture.addListener(
        (ChannelFuture result) -> {
          backend.connectFinished(attempt);
          onConnectFinished(result, connection, attempt);
        });
  }

  private void releaseWhenClosed(ChannelFuture connectFuture, BackendConnections backend) {
    if (connectFuture.isSuccess()) {
      connectFuture.channel().closeFuture().addListener(closed -> release(backend));
    } else {
      // If no socket was available there is no channel whose close would release the connection.
      release(backend);
    }
  }

  private void release(BackendConnections backend) {
    backend.connectionReleased();
    budget.addBackendConnections(-1);
  }

  /**
   * Writes the attempt's request, unless the connection failed, the attempt has ended (by a
   * timeout, a cancellation or an update that removes its backend), its client has disconnected, or
   * its write deadline has passed.
   */
  private void onConnectFinished(
      ChannelFuture connectFuture, BackendConnection connection, Attempt attempt) {
    if (!attempt.endUnlessWanted()) {
      closeIfConnected(connectFuture);
    } else if (!connectFuture.isSuccess()) {
      attempt.end(statusOfFailedConnect(connectFuture.cause()), null);
    } else if (clock.now() > attempt.writeDeadlineMs()) {
      connectFuture.channel().close();
      attempt.end(Status.NOT_SENT, null);
    } else {
      connection.send(attempt);
    }
  }

  /** Closes the channel. A failed connect has already closed its channel, or never had a socket. */
  private static void closeIfConnected(ChannelFuture connectFuture) {
    if (connectFuture.isSuccess()) {
      connectFuture.channel().close();
    }
  }

  /**
   * Returns the final status of an attempt whose connection could not be opened. A failure of this
   * machine says nothing about the backend, which is not assumed to be at fault. A reset is not
   * reported as a failed connect, because it shows that a peer accepted the connection and dropped
   * it. Otherwise a live backend would be assumed to have restarted after a reset of any origin: a
   * full connection table, a middlebox, or a slow event loop that notices the connection only after
   * it was reset. The drawback is that a machine which restarts and resets pending connections gets
   * one more attempt before a refused connection or the endpoint list shows the restart.
   */
  private static Status statusOfFailedConnect(Throwable cause) {
    return switch (ConnectFailure.of(cause)) {
      case LOCAL -> Status.NOT_SENT;
      case UNREACHABLE -> Status.CONNECT_FAILED;
      case RESET -> Status.WRITE_INCOMPLETE;
    };
  }
}
