package quotagateway.client;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The time limits of one connection: which is overdue, and how long a connection must have been
 * idle before it may be closed for another client's sake. On the event loop's thread; times are in
 * milliseconds on the gateway's clock.
 */
final class ConnectionTimeouts {

  /**
   * Between requests a connection may be closed after this if another needs its place: clients
   * accept that after 2 s.
   */
  private static final double MIN_IDLE_BEFORE_EVICTION_MS = 2_050;

  /**
   * One with no complete request in so long is evicted sooner: clients connect in order to ask, and
   * ask at once.
   */
  private static final double MIN_SILENCE_BEFORE_EVICTION_MS = 300;

  /**
   * Between requests a connection is closed after this in any case: some clients never come back.
   */
  private static final double MAX_IDLE_MS = 10_000;

  /** What the time limits depend on. */
  interface Activity {

    /** Whether a request is open, with its response still to come to its end. */
    boolean exchangeOpen();

    /** Whether the connection has had a request. */
    boolean exchangeStarted();
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

  /** The connection has been opened, or a response has been written. */
  void restartIdleTime() {
    idleSinceMs = context.now();
  }

  /** From when the time for the request that is being received counts. */
  private double requestStartedAtMs() {
    return activity.exchangeStarted() ? assembler.receivingSinceMs() : idleSinceMs;
  }

  /**
   * Whether no request is open, and has not been for long enough to close it for another's sake.
   */
  boolean evictable(double nowMs) {
    if (activity.exchangeOpen() || closer.closing()) {
      return false;
    }
    if (activity.exchangeStarted() && !assembler.receivesRequest()) {
      return nowMs - idleSinceMs > MIN_IDLE_BEFORE_EVICTION_MS;
    }
    return nowMs - requestStartedAtMs() > MIN_SILENCE_BEFORE_EVICTION_MS;
  }

  /**
   * Closes the connection if a time limit is over. Prevents connections held for good by clients
   * that never finish a request, send nothing, never come back, or read no response; and while
   * draining ends what no request is on. One that has just connected may still ask.
   */
  void closeIfOverdue(double nowMs) {
    if (closer.closing()) {
      return;
    }
    boolean exchangeOpen = activity.exchangeOpen();
    InboundRequest receiving = assembler.receiving();
    if (writer.stalledTooLong(nowMs)) {
      closer.reset();
    } else if (receiving != null && (!exchangeOpen || receiving.accepted())) {
      assembler.checkBodyProgress(nowMs, requestStartedAtMs());
    } else if (!exchangeOpen && assembler.receivesRequest()) {
      if (nowMs - requestStartedAtMs() > RequestLimits.MAX_HEAD_MS) {
        closer.closeWithError(HttpResponseStatus.REQUEST_TIMEOUT, "request is not whole in time");
      }
    } else if (idleTooLong(nowMs)) {
      closer.closeIfIdle();
    }
  }

  private boolean idleTooLong(double nowMs) {
    if (!activity.exchangeStarted()) {
      return nowMs - idleSinceMs > RequestLimits.MAX_HEAD_MS;
    }
    return context.drainNoticed() || nowMs - idleSinceMs > MAX_IDLE_MS;
  }
}
