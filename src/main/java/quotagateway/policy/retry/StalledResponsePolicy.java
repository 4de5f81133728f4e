package quotagateway.policy.retry;

import quotagateway.policy.context.DecisionContext;

/**
 * Decides whether a stalled response is given up for another attempt. A stall alone does not show
 * that the response is lost: the backend may need the time, and any other backend would need it as
 * well. A response is given up only if another attempt may follow and is likely to do better: once
 * while that attempt would have nearly all of the request's time, else not before the last moment
 * at which another attempt usually succeeds. Owned by the policy's thread; times are in
 * milliseconds.
 */
public final class StalledResponsePolicy {

  /** Time kept for another attempt, as a multiple of the usual latency. */
  private static final double USUAL_LATENCY_RESERVE = 1.25;

  /** Share of recent stalls that ended by themselves, from which on a stall is awaited. */
  private static final double MIN_RESUMED_SHARE = 0.5;

  /**
   * Time left for another attempt, as a multiple of what this one has had, from which on the wait
   * hardly reduces what a slow backend may take.
   */
  private static final double MIN_REMAINING_TIME_RATIO = 10;

  private final DecisionContext context;
  private final RetryPolicy retryPolicy;
  private final RecentResponses recentResponses;

  /** Creates a policy that gives up a response only if a retry is allowed. */
  public StalledResponsePolicy(
      DecisionContext context, RetryPolicy retryPolicy, RecentResponses recentResponses) {
    this.context = context;
    this.retryPolicy = retryPolicy;
    this.recentResponses = recentResponses;
  }

  /**
   * Returns whether a stalled response is given up now.
   *
   * @param sentAtMs when the attempt was sent
   * @param deadlineAtMs the client's deadline
   * @param meanServiceMs mean service time of all backends
   * @param nextCheckAtMs when the response is checked again
   */
  public boolean mayGiveUp(
      RequestAttempts attempts,
      double sentAtMs,
      double deadlineAtMs,
      double meanServiceMs,
      double nextCheckAtMs,
      StallEvidence evidence) {
    double remainingMs = retryPolicy.remainingMs(deadlineAtMs);
    if (!retryPolicy.mayReplace(attempts, sentAtMs, deadlineAtMs, meanServiceMs)
        || !mayAnotherDoBetter(attempts, evidence, sentAtMs, remainingMs)) {
      return false;
    }
    double waitedMs = context.nowMs() - sentAtMs;
    boolean early =
        !attempts.hasCancelledAttempt() && remainingMs >= MIN_REMAINING_TIME_RATIO * waitedMs;
    double usualLatencyMs = recentResponses.usualLatencyMs(sentAtMs);
    double latestAtMs =
        Math.min(
            retryPolicy.latestReplacementAtMs(attempts, sentAtMs, deadlineAtMs, meanServiceMs),
            context.nowMs() + remainingMs - usualLatencyMs * USUAL_LATENCY_RESERVE);
    boolean lastMoment = nextCheckAtMs > latestAtMs && remainingMs >= usualLatencyMs;
    return early || lastMoment;
  }

  /**
   * Returns whether another attempt is likely to do better. Where an earlier attempt of the request
   * was given up as well, the request itself may need the time.
   */
  private boolean mayAnotherDoBetter(
      RequestAttempts attempts, StallEvidence evidence, double sentAtMs, double remainingMs) {
    if (!recentResponses.hasWithin(remainingMs, sentAtMs)) {
      return false;
    }
    return evidence.backendLeavesResponsesIncomplete()
        || (!attempts.hasCancelledAttempt() && !isLikelyToResume(evidence));
  }

  private static boolean isLikelyToResume(StallEvidence evidence) {
    return Double.isNaN(evidence.resumedShare())
        ? evidence.backendResponsive()
        : evidence.resumedShare() >= MIN_RESUMED_SHARE;
  }
}
