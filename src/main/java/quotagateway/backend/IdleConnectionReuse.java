package quotagateway.backend;

/**
 * For how long a kept connection may have been idle and still be trusted with a request that cannot
 * go out again. Something on the way may forget connections far sooner than the backends say that
 * they close them, and tells nobody until something is written.
 */
final class IdleConnectionReuse {

  /**
   * Weight of the newest death, and how much each survivor of more than the bound adds to it again.
   */
  private static final double NEWEST = 0.2;

  private static final double REGAIN = 1.02;

  /** The bound as a part of the mean time that those found dead had been idle. */
  private static final double PART = 0.5;

  private double deadAfterMs = Double.POSITIVE_INFINITY;

  boolean trusts(double idleMs) {
    return idleMs <= PART * deadAfterMs;
  }

  /** A connection was dead when it was written to after so long. */
  void died(double idleMs) {
    deadAfterMs =
        Double.isInfinite(deadAfterMs) ? idleMs : deadAfterMs + NEWEST * (idleMs - deadAfterMs);
  }

  /** A connection carried an answer after it had been idle for so long. */
  void lived(double idleMs) {
    if (!trusts(idleMs)) {
      deadAfterMs *= REGAIN;
    }
  }
}
