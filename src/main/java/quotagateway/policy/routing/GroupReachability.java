package quotagateway.policy.routing;

import quotagateway.policy.context.ExponentialMean;

/**
 * The recent share of attempts that were lost at the backends of one zone, or of one cell of a
 * zone, which shows whether this gateway can reach the group. Owned by the policy's thread.
 */
final class GroupReachability {

  /**
   * A single loss among responses must not make the group look unreachable; three consecutive
   * losses must.
   */
  private static final double NEWEST_SAMPLE_WEIGHT = 0.2;

  /**
   * A response at least halves the loss share, so that a group that responds again is soon used.
   */
  private static final double MIN_RESPONSE_WEIGHT = 0.5;

  /** Losses decay within seconds, so that a group that gets no attempts is soon tried again. */
  private static final double LOSS_TIME_CONSTANT_MS = 4_000;

  private final ExponentialMean losses;
  private double lastResponseAtMs = Double.NEGATIVE_INFINITY;

  GroupReachability(double nowMs) {
    losses = new ExponentialMean(NEWEST_SAMPLE_WEIGHT, LOSS_TIME_CONSTANT_MS, nowMs);
  }

  /**
   * Records the outcome of an attempt at a backend of the group. Any response shows that the group
   * can be reached, even an error, which concerns the backend alone. A failed attempt counts as a
   * loss only if no backend of the group has responded since it was sent.
   *
   * <p>Without this condition, the gateway would avoid a zone or cell because of one faulty or busy
   * backend. It would also avoid a group for long after the group has recovered, because attempts
   * that were sent to a backend that is gone never get a response and still fail afterwards. There
   * is no known drawback.
   *
   * @param sentAtMs when the attempt was sent
   * @param responded whether the backend sent any response
   * @param failed whether the attempt counts as a failure of the backend
   * @param nowMs the current time
   */
  void record(double sentAtMs, boolean responded, boolean failed, double nowMs) {
    if (responded) {
      lastResponseAtMs = nowMs;
      losses.add(0, MIN_RESPONSE_WEIGHT, nowMs);
    } else if (failed && lastResponseAtMs <= sentAtMs) {
      losses.add(1, nowMs);
    }
  }

  /** Returns the recent share of lost attempts, from 0 to 1. */
  double lossShare(double nowMs) {
    return losses.decayedValue(nowMs);
  }
}
