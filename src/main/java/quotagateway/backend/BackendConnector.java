package quotagateway.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import quotagateway.policy.event.Status;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;

/**
 * Opens connections to backends, each for the attempt that needs it, and counts them against the
 * connection budget. On the event loop's thread.
 */
final class BackendConnector {

  private final MonotonicClock clock;
  private final Dialer dialer;
  private final ConnectionBudget budget;
  private final IdleConnectionReuse reuse;

  BackendConnector(
      MonotonicClock clock, Dialer dialer, ConnectionBudget budget, IdleConnectionReuse reuse) {
    this.clock = clock;
    this.dialer = dialer;
    this.budget = budget;
    this.reuse = reuse;
  }

  /** Opens a connection; the attempt is written when it is up, or ends. */
  void connect(BackendConnections backend, Attempt attempt) {
    budget.addBackendConnections(1);
    backend.connectionOpening(attempt);
    ResponseDecoder decoder = new ResponseDecoder();
    BackendConnection connection =
        new BackendConnection(backend, backend.address(), decoder, clock, reuse);
    ChannelFuture connected =
        dialer.dial(
            backend.address(),
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
              }
            });
    connected.addListener((ChannelFuture result) -> releaseWhenClosed(result, backend));
    connected.addListener(
        (ChannelFuture result) -> {
          backend.connectingEnded(attempt);
          onConnected(result, connection, attempt);
        });
  }

  private void releaseWhenClosed(ChannelFuture connected, BackendConnections backend) {
    if (connected.isSuccess()) {
      connected.channel().closeFuture().addListener(closed -> release(backend));
    } else {
      // Where no socket was to be had there is no channel that could close.
      release(backend);
    }
  }

  private void release(BackendConnections backend) {
    backend.connectionGone();
    budget.addBackendConnections(-1);
  }

  /**
   * Prevents the writing of what has timed out, was cancelled, must not reach a drained backend, or
   * is for a client that has left.
   */
  private void onConnected(ChannelFuture connected, BackendConnection connection, Attempt attempt) {
    if (!attempt.endUnlessWanted()) {
      closeIfConnected(connected);
    } else if (!connected.isSuccess()) {
      attempt.end(statusOf(connected.cause()), null);
    } else if (clock.now() > attempt.writeByMs()) {
      connected.channel().close();
      attempt.end(Status.NOT_SENT, null);
    } else {
      connection.carry(attempt);
    }
  }

  /** One that did not come up has closed itself, or there was no socket for it. */
  private static void closeIfConnected(ChannelFuture connected) {
    if (connected.isSuccess()) {
      connected.channel().close();
    }
  }

  /**
   * How an attempt ends whose connection did not come up. A reset shows that something lives there,
   * which took the connection and dropped it. Prevents live backends from being taken for restarted
   * ones, whatever resets: their full tables, a middlebox, a slow event loop that first looks when
   * all is over. Cost: a machine that comes back and resets what was under way meanwhile is met
   * once more before a refusal, or the endpoint list, shows its restart.
   */
  private static Status statusOf(Throwable cause) {
    if (cause instanceof ChannelException) {
      // No socket was to be had here: that says nothing of the backend.
      return Status.NOT_SENT;
    }
    return String.valueOf(cause.getMessage()).contains("reset")
        ? Status.WRITE_INCOMPLETE
        : Status.CONNECT_FAILED;
  }
}
