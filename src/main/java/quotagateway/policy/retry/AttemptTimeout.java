package quotagateway.policy.retry;

import quotagateway.policy.settings.Idempotency;

/**
 * When an attempt that looks lost is cancelled, so that another fits before the client's latency
 * objective. Owned by the policy's thread.
 *
 * <p>Prevents waiting to the end for backends that are dead, cut off or stalled, and for responses
 * that were lost on their way. Cost: a slow request looks the same; the retry budget bounds that.
 */
public final class AttemptTimeout {

  /** Of the latency objective, what the first attempt may use: a second one needs the rest. */
  private static final double LOSS_TIMEOUT_PER_OBJECTIVE = 0.65;

  private final RetryBudget budget;

  /** A time limit that is bounded by a budget. */
  public AttemptTimeout(RetryBudget budget) {
    this.budget = budget;
  }

  /** After which time an attempt may look lost. */
  public double lossTimeoutMs(double latencyObjectiveMs) {
    return latencyObjectiveMs * LOSS_TIMEOUT_PER_OBJECTIVE;
  }

  /**
   * Whether an attempt of a request may be cancelled: once for a request, while nothing of its
   * response has gone to the client, where its body can be sent again and a retry is allowed.
   */
  public boolean mayCancel(RequestAttempts attempts) {
    return !attempts.isCancelled()
        && !attempts.hasResponseStarted()
        && !attempts.forwardsBody()
        && attempts.capabilities().cancellation()
        && attempts.requestClass().idempotency() != Idempotency.NOT_IDEMPOTENT
        && budget.hasToken();
  }
}
