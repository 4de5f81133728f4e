package quotagateway.policy.routing;

import quotagateway.policy.context.ExponentialMean;

/**
 * Whether the backends of one zone, or of one cell of a zone, can be reached from this gateway: the
 * share of attempts that were lost there lately. Owned by the policy's thread.
 */
final class GroupReachability {

  /** One loss among usual responses must not look like a lost zone; three in a row must. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** A response at least halves the share: a group that answers again is soon back. */
  private static final double RESPONSE_WEIGHT = 0.5;

  /** Losses fade in seconds, so that a group is looked at again soon after nobody went there. */
  private static final double MEMORY_MS = 4_000;

  private final ExponentialMean losses;
  private double lastResponseAtMs = Double.NEGATIVE_INFINITY;

  GroupReachability(double nowMs) {
    losses = new ExponentialMean(NEWEST_WEIGHT, MEMORY_MS, nowMs);
  }

  /**
   * Takes the outcome of an attempt at a backend of the group. Any response shows that the group
   * can be reached, one of an error too, as that is a matter of the backend alone. A failed attempt
   * counts against the group only while nobody there has answered since it was sent.
   *
   * <p>Prevents leaving a zone or a cell for one faulty or busy backend of it, and, as a backend
   * that is gone never answers, leaving it for long once it is back. Cost: none known.
   *
   * @param sentAtMs when the attempt was sent
   * @param responded whether the backend answered anything
   * @param failed whether the attempt counts as a failure of the backend
   * @param nowMs the present time
   */
  void record(double sentAtMs, boolean responded, boolean failed, double nowMs) {
    if (responded) {
      lastResponseAtMs = nowMs;
      losses.add(0, RESPONSE_WEIGHT, nowMs);
    } else if (failed && lastResponseAtMs <= sentAtMs) {
      losses.add(1, nowMs);
    }
  }

  /** The share of attempts lost, from 0 to 1. */
  double lossShare(double nowMs) {
    return losses.fadedValue(nowMs);
  }
}
