package quotagateway.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.TimeUnit;
import quotagateway.transport.KernelSockets;

/**
 * Closes one connection, at once, behind its last response, or with a reset, so that its client can
 * read what it is owed. Once closing has begun, nothing that comes is a request any more. Channels
 * that failed, or that the client has closed, are closed by {@link ClientConnection} itself.
 *
 * <p>On the event loop's thread; times are in milliseconds on the gateway's clock.
 */
final class ConnectionCloser {

  /**
   * A connection that ends while its client may still send stays half open until nothing has come
   * for so long.
   */
  private static final long LINGER_MS = 300;

  /** The longest time that a body which is not wanted is read for. */
  private static final double MAX_LINGER_MS = 10_000;

  /** A time that has passed at the first check already. */
  private static final double ONE_CHECK = 0;

  /** The requests of the connection, as far as its closing depends on them. */
  interface Requests {

    /** Whether no request is open or waits for its turn. */
    boolean idle();

    /** Drops what waits for its turn, or is being received. */
    void discardRequests();
  }

  private final Channel channel;
  private final ClientContext context;
  private final RequestAssembler assembler;
  private final ResponseWriter writer;
  private final Requests requests;
  private boolean closing;

  ConnectionCloser(
      Channel channel,
      ClientContext context,
      RequestAssembler assembler,
      ResponseWriter writer,
      Requests requests) {
    this.channel = channel;
    this.context = context;
    this.assembler = assembler;
    this.writer = writer;
    this.requests = requests;
  }

  /** Whether closing has begun. */
  boolean closing() {
    return closing;
  }

  /** Closes the connection without regard to what is on it; the channel's end then cleans up. */
  void closeAtOnce() {
    channel.close();
  }

  /**
   * Closes the connection if no complete request is on it, without a word to one that is half
   * received; a response while draining closes it by itself.
   */
  void closeIfIdle() {
    if (requests.idle() && !closing) {
      closing = true;
      channel.close();
    }
  }

  /**
   * Another client needs the place of this connection. One that is half received is rejected, so
   * that its client may send it again; without the lingering of other errors, as the place is
   * needed now.
   */
  void closeForAnother() {
    if (requests.idle() && !closing && assembler.receivesRequest()) {
      closing = true;
      requests.discardRequests();
      writer
          .writeFinalError(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections")
          .addListener(ChannelFutureListener.CLOSE);
    } else {
      closeIfIdle();
    }
  }

  /**
   * The process ends. Prevents a request that is read after the shutdown and never answered: what
   * is half received is rejected, as nobody will read the rest of it.
   */
  void closeForShutdown() {
    if (requests.idle() && assembler.receivesRequest()) {
      closeWithError(HttpResponseStatus.SERVICE_UNAVAILABLE, "this gateway is shutting down");
    } else {
      closeIfIdle();
    }
  }

  /** The channel has become inactive, for whatever reason. */
  void closed() {
    closing = true;
    requests.discardRequests();
  }

  /**
   * Closes the connection behind its last response.
   *
   * @param written when that is with the kernel
   * @param moreComes whether the client is still sending the body of the answered request, or part
   *     of another one
   */
  void closeAfter(ChannelFuture written, boolean moreComes) {
    closing = true;
    requests.discardRequests();
    if (moreComes) {
      linger(written);
    } else {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Answers what cannot be read any further, and closes the connection behind that. */
  void closeWithError(HttpResponseStatus status, String reason) {
    if (closing) {
      return;
    }
    closing = true;
    requests.discardRequests();
    linger(writer.writeFinalError(status, reason));
  }

  /**
   * Breaks off a streamed response that cannot be completed. Prevents a client that takes a part
   * for the whole: a reset is the end of a response in no framing.
   */
  void reset() {
    closing = true;
    requests.discardRequests();
    KernelSockets.reset(channel);
  }

  /**
   * Ends sending behind the last response, and reads on for a while. Prevents the loss of that
   * response: a close over unread bytes resets the connection, and the reset drops what the client
   * has not read yet. Cost: the connection is held for {@link #LINGER_MS}, one under a queued
   * request's body for as long as more of that comes, within {@link #MAX_LINGER_MS}.
   */
  private void linger(ChannelFuture written) {
    double maxUntilMs = context.now() + MAX_LINGER_MS;
    InboundRequest receiving = assembler.receiving();
    double untilMs = receiving != null && receiving.queued() ? maxUntilMs : ONE_CHECK;
    assembler.setReading(true);
    written.addListener(future -> ((SocketChannel) channel).shutdownOutput());
    scheduleLingerCheck(untilMs);
  }

  private void scheduleLingerCheck(double untilMs) {
    channel
        .eventLoop()
        .schedule(() -> closeUnlessReceiving(untilMs), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  private void closeUnlessReceiving(double untilMs) {
    double now = context.now();
    if (now - assembler.lastReadAtMs() < LINGER_MS && now < untilMs) {
      scheduleLingerCheck(untilMs);
    } else {
      channel.close();
    }
  }
}
