package quotagateway.policy.routing;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.Status;

/**
 * How stalls of responses end: by themselves, or not at all. Owned by the policy's thread; times
 * are in milliseconds.
 */
final class ResponseStalls {

  /** Weight of the newest stall in the share of stalls that ended by themselves. */
  private static final double NEWEST_STALL_WEIGHT = 0.3;

  /** Age of the newest stall above which the share says nothing any more. */
  private static final double RETENTION_MS = 10_000;

  private final DecisionContext context;
  private double resumedShare = Double.NaN;
  private double latestEndAtMs = Double.NEGATIVE_INFINITY;

  ResponseStalls(DecisionContext context) {
    this.context = context;
  }

  /** Records that a response has begun, stalls, or goes on after a stall. */
  void recordProgress(AttemptRecord attempt, boolean stalled) {
    if (attempt.isStalled() && !stalled) {
      recordEnd(true);
    }
    attempt.recordProgress(stalled, context.nowMs());
  }

  /**
   * Records the end of an attempt. A stall that was given up for another attempt says nothing about
   * how it would have ended.
   */
  void recordAttemptEnd(AttemptRecord attempt, Status status) {
    if (status == Status.OK) {
      attempt.backend().unresolvedStalls = 0;
    } else if (attempt.isStalled()) {
      if (status == Status.TIMED_OUT) {
        recordEnd(false);
      }
      if (status == Status.TIMED_OUT || status == Status.RESPONSE_STALLED) {
        attempt.backend().unresolvedStalls++;
      }
    }
  }

  private void recordEnd(boolean resumed) {
    double sample = resumed ? 1 : 0;
    double share = resumedShare();
    resumedShare = Double.isNaN(share) ? sample : share + NEWEST_STALL_WEIGHT * (sample - share);
    latestEndAtMs = context.nowMs();
  }

  /** Returns the share of recent stalls that ended by themselves, or NaN if there was none. */
  double resumedShare() {
    return context.nowMs() - latestEndAtMs > RETENTION_MS ? Double.NaN : resumedShare;
  }
}
