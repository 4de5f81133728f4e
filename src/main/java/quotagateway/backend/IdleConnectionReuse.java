package quotagateway.backend;

/**
 * For how long a connection may have been idle and still be used for a request that cannot be sent
 * again. Something on the way may forget connections far sooner than the backends say that they
 * close them, and shows that only when something is written. Learned from all connections to
 * backends; times are in milliseconds.
 */
final class IdleConnectionReuse {

  /** Weight of the newest dead connection in their mean idle time. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** By this the mean grows with each connection that survived a longer time than is allowed. */
  private static final double SURVIVOR_GROWTH = 1.02;

  /** The allowed idle time as a share of that mean: some died sooner. */
  private static final double ALLOWED_SHARE = 0.5;

  /** Mean time that those found dead had been idle; infinite while none was. */
  private double meanDeadIdleMs = Double.POSITIVE_INFINITY;

  boolean allows(double idleMs) {
    return idleMs <= ALLOWED_SHARE * meanDeadIdleMs;
  }

  /** A connection was dead when it was written to after so long. */
  void recordDead(double idleMs) {
    if (Double.isInfinite(meanDeadIdleMs)) {
      meanDeadIdleMs = idleMs;
    } else {
      meanDeadIdleMs += NEWEST_WEIGHT * (idleMs - meanDeadIdleMs);
    }
  }

  /** A connection carried a response after it had been idle for so long. */
  void recordAlive(double idleMs) {
    if (!allows(idleMs)) {
      meanDeadIdleMs *= SURVIVOR_GROWTH;
    }
  }
}
