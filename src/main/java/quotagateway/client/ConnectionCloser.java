package quotagateway.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.TimeUnit;
import quotagateway.transport.EventLog;
import quotagateway.transport.KernelSockets;
import quotagateway.transport.LogEvent;

/**
 * Closes one connection: immediately, after its last response, or with a reset, such that the
 * client can read the responses that it is owed. Once closing has begun, received bytes are no
 * longer treated as requests. {@link ClientConnection} itself closes channels that failed or that
 * the client has closed.
 *
 * <p>Confined to the event loop's thread; times are in milliseconds on the gateway's clock.
 */
final class ConnectionCloser {

  /**
   * How long a connection that ends while its client may still be sending stays half open. If the
   * body of a queued request is being received, the connection is checked at this interval instead,
   * and closed once its client has sent nothing for as long.
   */
  private static final long LINGER_MS = 300;

  /** Maximum time for which an unwanted body is read. */
  private static final double MAX_LINGER_MS = 10_000;

  /**
   * Time without a byte from the client after which a lingering connection may be closed in favor
   * of a new client. A client that is still sending would be reset, and could lose its response.
   */
  private static final double MIN_SILENT_LINGER_MS = 50;

  /** A linger limit that has already passed at the first check. */
  private static final double CLOSE_AT_FIRST_CHECK = 0;

  /** The requests of the connection, as far as closing depends on them. */
  interface PendingRequests {

    /**
     * Returns whether the client is owed a response: a request is open or waits for its turn, or
     * the client's socket has not taken all of a response.
     */
    boolean hasPendingResponse();

    /** Returns whether no request is open or waits for its turn. */
    boolean isIdle();

    /** Drops the requests that wait for their turn or are being received. */
    void discardRequests();

    /** Returns the identifier of the latest request; empty if there was none. */
    String latestRequestId();
  }

  private final Channel channel;
  private final ClientContext context;
  private final RequestAssembler assembler;
  private final ResponseWriter writer;
  private final PendingRequests requests;
  private boolean closing;

  /** When the connection began to linger; infinite if it does not linger. */
  private double lingeringSinceMs = Double.POSITIVE_INFINITY;

  ConnectionCloser(
      Channel channel,
      ClientContext context,
      RequestAssembler assembler,
      ResponseWriter writer,
      PendingRequests requests) {
    this.channel = channel;
    this.context = context;
    this.assembler = assembler;
    this.writer = writer;
    this.requests = requests;
  }

  /** Returns whether closing has begun. */
  boolean isClosing() {
    return closing;
  }

  /**
   * Closes the connection regardless of its requests; the channel's inactive event then cleans up.
   */
  void closeImmediately(CloseReason reason) {
    log(reason.name());
    channel.close();
  }

  /**
   * Closes the connection if no response is pending. The client of a partly received request gets
   * no error. While the gateway drains, a connection with an open request is closed by its response
   * instead.
   *
   * <p>A response is pending until its last byte has gone to the socket. Closing the channel
   * earlier would drop the rest of it.
   */
  void closeIfIdle(CloseReason reason) {
    if (!requests.hasPendingResponse() && !closing) {
      log(reason.name());
      closing = true;
      channel.close();
    }
  }

  /**
   * Closes the connection to make room for another client. A partly received request is rejected,
   * so that its client can send it again. In contrast to other errors, the connection does not
   * linger, because its place is needed immediately.
   */
  void closeToMakeRoom() {
    if (!requests.hasPendingResponse() && !closing && assembler.isReceivingRequest()) {
      rejectAndClose("too many connections");
    } else {
      closeIfIdle(CloseReason.MAKE_ROOM);
    }
  }

  /**
   * Rejects the next or partly received request, drops all others, and closes the connection
   * without lingering. To be called while no request is open.
   */
  void rejectAndClose(String reason) {
    log(reason);
    closing = true;
    requests.discardRequests();
    writer
        .writeFinalError(HttpResponseStatus.SERVICE_UNAVAILABLE, reason)
        .addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Closes the connection because the process is ending. A partly received request is rejected, as
   * the rest of it will not be read; otherwise it could be read after the shutdown and never be
   * answered.
   */
  void closeForShutdown() {
    if (requests.isIdle() && assembler.isReceivingRequest()) {
      closeWithError(HttpResponseStatus.SERVICE_UNAVAILABLE, "this gateway is shutting down");
    } else {
      closeIfIdle(CloseReason.SHUTDOWN);
    }
  }

  /** Called when the channel has become inactive, for any reason. */
  void onClosed() {
    closing = true;
    requests.discardRequests();
  }

  /**
   * Closes the connection after its last response.
   *
   * @param writeFuture completes when the response has been passed to the kernel
   * @param clientStillSending whether the client is still sending the body of the answered request,
   *     or part of another request
   */
  void closeAfter(ChannelFuture writeFuture, boolean clientStillSending) {
    log(CloseReason.LAST_RESPONSE.name());
    closing = true;
    requests.discardRequests();
    if (clientStillSending) {
      linger(writeFuture);
    } else {
      writeFuture.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /**
   * Responds with an error to input that cannot be read any further, and then closes the
   * connection.
   */
  void closeWithError(HttpResponseStatus status, String reason) {
    if (closing) {
      return;
    }
    log(reason);
    closing = true;
    requests.discardRequests();
    linger(writer.writeFinalError(status, reason));
  }

  /**
   * Resets the connection to cut off a streamed response that cannot be completed. No framing of a
   * response ends with a reset, so the client cannot mistake the part for the complete response.
   */
  void reset(CloseReason reason) {
    log(reason.name());
    closing = true;
    requests.discardRequests();
    KernelSockets.reset(channel);
  }

  private void log(String reason) {
    EventLog.current()
        .line(LogEvent.CONNECTION_CLOSED, reason)
        .with("peer", channel.remoteAddress())
        .with("request", requests.latestRequestId())
        .with("state", state())
        .withMs("receiving_ms", context.now() - assembler.receivingSinceMs())
        .withMs("last_read_ms", context.now() - assembler.lastReadAtMs())
        .write();
  }

  private String state() {
    if (!requests.isIdle()) {
      return "REQUEST_OPEN";
    }
    if (requests.hasPendingResponse()) {
      return "RESPONSE_PENDING";
    }
    return assembler.isReceivingRequest() ? "RECEIVING" : "IDLE";
  }

  /**
   * Ends sending after the last response and continues to read (lingering close). Without this, the
   * response could be lost: closing a connection that has unread bytes resets it, and the reset
   * discards what the client has not read yet. The drawback is that the connection is held for
   * {@link #LINGER_MS} after the response, or, while the body of a queued request is being
   * received, for as long as more of it arrives, up to {@link #MAX_LINGER_MS}.
   */
  private void linger(ChannelFuture writeFuture) {
    double maxLingerUntilMs = context.now() + MAX_LINGER_MS;
    InboundRequest incompleteRequest = assembler.incompleteRequest();
    double lingerUntilMs =
        incompleteRequest != null && incompleteRequest.isQueued()
            ? maxLingerUntilMs
            : CLOSE_AT_FIRST_CHECK;
    assembler.setReading(true);
    writeFuture.addListener(
        written -> {
          if (channel instanceof DuplexChannel socket) {
            socket.shutdownOutput();
          }
          lingeringSinceMs = context.now();
          scheduleLingerCheck(lingerUntilMs);
        });
  }

  /**
   * Returns from when on the connection may be closed in favor of a new client, because it lingers
   * and its client is silent; infinity if it does not linger.
   */
  double lingerMayEndAtMs() {
    return Math.max(lingeringSinceMs, assembler.lastReadAtMs()) + MIN_SILENT_LINGER_MS;
  }

  /** Closes a lingering connection, whose close has been logged. */
  void endLinger() {
    channel.close();
  }

  private void scheduleLingerCheck(double lingerUntilMs) {
    channel
        .eventLoop()
        .schedule(() -> closeUnlessReceiving(lingerUntilMs), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  private void closeUnlessReceiving(double lingerUntilMs) {
    double now = context.now();
    if (now - assembler.lastReadAtMs() < LINGER_MS && now < lingerUntilMs) {
      scheduleLingerCheck(lingerUntilMs);
    } else {
      channel.close();
    }
  }
}
