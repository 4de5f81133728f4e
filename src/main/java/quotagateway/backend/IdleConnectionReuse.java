package quotagateway.backend;

/**
 * Maximum idle time of a connection that is reused for a request which must not be executed twice.
 * A middlebox may drop idle connections far sooner than the backends' idle timeout, which shows
 * only when the connection is written to. The limit is learned from the connections to all
 * backends. Times are in milliseconds.
 */
final class IdleConnectionReuse {

  /** Smoothing factor of the moving average: the weight of the newest dead connection. */
  private static final double SMOOTHING_FACTOR = 0.2;

  /** Growth of the average for each connection that was alive after more than the allowed time. */
  private static final double GROWTH_FACTOR = 1.02;

  /** Allowed idle time as a fraction of the average, because some connections died sooner. */
  private static final double ALLOWED_FRACTION = 0.5;

  /**
   * Exponentially weighted average of the idle times of connections found dead; infinite until one
   * is found.
   */
  private double meanDeadIdleMs = Double.POSITIVE_INFINITY;

  boolean allowsReuseAfter(double idleMs) {
    return idleMs <= ALLOWED_FRACTION * meanDeadIdleMs;
  }

  /** Records that a connection reused after the given idle time was dead. */
  void recordDead(double idleMs) {
    if (Double.isInfinite(meanDeadIdleMs)) {
      meanDeadIdleMs = idleMs;
    } else {
      meanDeadIdleMs += SMOOTHING_FACTOR * (idleMs - meanDeadIdleMs);
    }
  }

  /** Records that a connection reused after the given idle time carried a response. */
  void recordAlive(double idleMs) {
    if (!allowsReuseAfter(idleMs)) {
      meanDeadIdleMs *= GROWTH_FACTOR;
    }
  }
}
