package quotagateway.policy.retry;

import quotagateway.policy.settings.Idempotency;

/**
 * Decides when an attempt that is probably lost is cancelled, so that a second attempt can finish
 * within the client's latency objective. Owned by the policy's thread.
 *
 * <p>Without this, requests would wait until their deadline for backends that are dead, unreachable
 * or stalled, and for lost responses. The drawback is that a slow attempt cannot be told from a
 * lost one; the retry budget limits the additional attempts.
 */
public final class AttemptTimeout {

  /**
   * Fraction of the latency objective after which an attempt is treated as lost. A second attempt
   * needs the rest.
   */
  private static final double LOSS_TIMEOUT_OBJECTIVE_RATIO = 0.65;

  private final RetryBudget budget;
  private final RecentResponses recentResponses;

  /** Creates a timeout whose cancellations are limited by a retry budget. */
  public AttemptTimeout(RetryBudget budget, RecentResponses recentResponses) {
    this.budget = budget;
    this.recentResponses = recentResponses;
  }

  /** Returns the time after which an attempt may be treated as lost. */
  public double lossTimeoutMs(double latencyObjectiveMs) {
    return latencyObjectiveMs * LOSS_TIMEOUT_OBJECTIVE_RATIO;
  }

  /**
   * Returns whether another attempt could be answered before it would look lost itself. Not if all
   * recent responses took longer: then this attempt is as slow as any other.
   *
   * @param sentAtMs when the attempt was sent
   */
  public boolean mayAnotherDoBetter(double sentAtMs, double latencyObjectiveMs) {
    return recentResponses.hasWithin(lossTimeoutMs(latencyObjectiveMs), sentAtMs)
        || !recentResponses.hasAnyFor(sentAtMs);
  }

  /**
   * Returns whether an attempt of a request may be cancelled. This is allowed once per request, if
   * no part of the response has been sent to the client, the body can be sent again and a retry is
   * allowed.
   */
  public boolean mayCancel(RequestAttempts attempts) {
    return !attempts.hasCancelledAttempt()
        && !attempts.hasResponseStarted()
        && !attempts.forwardsBody()
        && attempts.capabilities().cancellation()
        && attempts.requestClass().idempotency() != Idempotency.NOT_IDEMPOTENT
        && budget.hasToken();
  }
}
