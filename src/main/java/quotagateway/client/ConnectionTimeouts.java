package quotagateway.client;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The time limits of one connection. Decides whether one has passed, and whether the connection has
 * been idle for long enough to be closed in favor of another client. Confined to the event loop's
 * thread; times are in milliseconds on the gateway's clock.
 */
final class ConnectionTimeouts {

  /**
   * Minimum idle time between requests before a connection may be closed to make room for another.
   * Clients accept a close after 2 s.
   */
  private static final double MIN_IDLE_BEFORE_EVICTION_MS = 2_050;

  /**
   * Minimum time without a complete request before a connection may be closed to make room for
   * another. It is shorter than {@link #MIN_IDLE_BEFORE_EVICTION_MS}, as clients connect in order
   * to send a request and do so at once.
   */
  private static final double MIN_SILENCE_BEFORE_EVICTION_MS = 300;

  /**
   * Idle time between requests after which a connection is always closed, because some clients
   * never send another request.
   */
  private static final double MAX_IDLE_MS = 10_000;

  /** The activity of the connection that the time limits depend on. */
  interface Activity {

    /** Returns whether the client is owed a response or the rest of one. */
    boolean hasPendingResponse();

    /** Returns whether a request is open, that is, its response is not complete. */
    boolean hasOpenExchange();

    /** Returns whether the connection has had a request. */
    boolean hasStartedExchange();
  }

  private final ClientContext context;
  private final RequestAssembler assembler;
  private final ResponseWriter writer;
  private final ConnectionCloser closer;
  private final Activity activity;

  /** When the connection was opened or last answered. */
  private double idleSinceMs;

  ConnectionTimeouts(
      ClientContext context,
      RequestAssembler assembler,
      ResponseWriter writer,
      ConnectionCloser closer,
      Activity activity) {
    this.context = context;
    this.assembler = assembler;
    this.writer = writer;
    this.closer = closer;
    this.activity = activity;
  }

  double idleSinceMs() {
    return idleSinceMs;
  }

  /** Restarts the idle time: the connection has been opened, or a response has been written. */
  void restartIdleTime() {
    idleSinceMs = context.now();
  }

  /** Returns when the time for the request that is being received began. */
  private double requestStartedAtMs() {
    return activity.hasStartedExchange() ? assembler.receivingSinceMs() : idleSinceMs;
  }

  /**
   * Returns whether no request is open, and has not been for long enough to close the connection in
   * favor of another client.
   */
  boolean isEvictable(double nowMs) {
    if (activity.hasPendingResponse() || closer.isClosing()) {
      return false;
    }
    if (activity.hasStartedExchange() && !assembler.isReceivingRequest()) {
      return nowMs - idleSinceMs > MIN_IDLE_BEFORE_EVICTION_MS;
    }
    return nowMs - requestStartedAtMs() > MIN_SILENCE_BEFORE_EVICTION_MS;
  }

  /**
   * Closes the connection if a time limit has passed. Without this, clients that never finish a
   * request, send nothing, never return or do not read their response would hold connections
   * forever. Once the drain has been noticed, {@link ClientServer#DRAIN_NOTICE_MS} after its start,
   * a connection without a request is closed as well, except one that has not had its first request
   * yet.
   */
  void closeIfOverdue(double nowMs) {
    if (writer.isStalledTooLong(nowMs)) {
      closer.reset(CloseReason.RESPONSE_NOT_READ);
      return;
    }
    if (closer.isClosing()) {
      return;
    }
    boolean exchangeOpen = activity.hasOpenExchange();
    InboundRequest incompleteRequest = assembler.incompleteRequest();
    if (incompleteRequest != null && (!exchangeOpen || incompleteRequest.isAccepted())) {
      assembler.checkBodyProgress(nowMs, requestStartedAtMs());
    } else if (!exchangeOpen && assembler.isReceivingRequest()) {
      if (nowMs - requestStartedAtMs() > RequestLimits.MAX_HEAD_MS) {
        closer.closeWithError(HttpResponseStatus.REQUEST_TIMEOUT, "request is not whole in time");
      }
    } else if (isIdleTooLong(nowMs)) {
      closer.closeIfIdle(context.isDrainNoticed() ? CloseReason.SHUTDOWN : CloseReason.IDLE);
    }
  }

  private boolean isIdleTooLong(double nowMs) {
    if (!activity.hasStartedExchange()) {
      return nowMs - idleSinceMs > RequestLimits.MAX_HEAD_MS;
    }
    return context.isDrainNoticed() || nowMs - idleSinceMs > MAX_IDLE_MS;
  }
}
