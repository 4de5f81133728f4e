package quotagateway.policy.retry;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.DeduplicationScope;

/**
 * Which requests get another attempt, and what the final response may promise where none follows.
 * Owned by the policy's thread.
 */
public final class RetryPolicy {

  /** A response so long before the client's deadline is still in time for it. */
  public static final double RESPONSE_MARGIN_MS = 15;

  /** In less than this share of a mean service time a retry would hardly be answered. */
  private static final double MIN_REMAINING_SERVICE_TIMES = 0.5;

  private final DecisionContext context;
  private final RetryBudget budget;

  /** A policy that spends from a budget. */
  public RetryPolicy(DecisionContext context, RetryBudget budget) {
    this.context = context;
    this.budget = budget;
  }

  /**
   * Whether a request gets another attempt after one that failed: its class allows it, its body can
   * be sent again, the budget has a token, and there is time enough.
   *
   * @param deadlineAtMs when the client gives up
   * @param fleetServiceMs mean service time over all backends
   */
  public boolean mayRetry(RequestAttempts attempts, double deadlineAtMs, double fleetServiceMs) {
    double remainingMs = deadlineAtMs - context.nowMs();
    double neededMs = fleetServiceMs * MIN_REMAINING_SERVICE_TIMES + RESPONSE_MARGIN_MS;
    return !attempts.isBodyPartlySent()
        && mayExecuteAgain(attempts)
        && (budget.hasToken() || attempts.isExemptFromBudget())
        && remainingMs >= neededMs;
  }

  /** Whether another execution does no harm; with a key, some time of its window must be left. */
  private boolean mayExecuteAgain(RequestAttempts attempts) {
    if (!attempts.mayHaveExecuted()) {
      return true;
    }
    return switch (attempts.requestClass().idempotency()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENT_WITH_KEY ->
          context.nowMs() < attempts.deduplicatedUntilMs() - RESPONSE_MARGIN_MS;
      case NOT_IDEMPOTENT -> false;
    };
  }

  /**
   * Whether an attempt may start now: there is time, and the number of attempts allowed when the
   * request came, and now, is not used up.
   */
  public boolean mayStart(RequestAttempts attempts, double deadlineAtMs) {
    int maxAttempts =
        Math.min(
            attempts.capabilities().maxAttempts(), context.settings().capabilities().maxAttempts());
    return remainingMs(deadlineAtMs) > 0
        && maxStartDelayMs(attempts) > 0
        && attempts.started() < maxAttempts;
  }

  /** Time that an attempt has for its response to be in time. */
  public double remainingMs(double deadlineAtMs) {
    return deadlineAtMs - context.nowMs() - RESPONSE_MARGIN_MS;
  }

  /**
   * Within which time an attempt has to be written whole; infinite where any time will do.
   *
   * <p>Prevents a second execution: a retry that waits for a backend, or for a connection to it,
   * could outlast the deduplication window. Cost: none known.
   */
  public double maxStartDelayMs(RequestAttempts attempts) {
    return attempts.needsDeduplication()
        ? attempts.deduplicatedUntilMs() - RESPONSE_MARGIN_MS - context.nowMs()
        : Double.POSITIVE_INFINITY;
  }

  /** Earns or spends for an attempt that starts, and counts it. */
  public void recordStart(RequestAttempts attempts) {
    if (attempts.started() == 0) {
      budget.earn();
    } else if (!attempts.isExemptFromBudget()) {
      budget.spend();
    }
    attempts.recordStart();
  }

  /**
   * Whether a request without a response may be rejected: it was not executed, or does no harm if
   * its client sends it again.
   */
  public boolean mayReject(RequestAttempts attempts) {
    if (!attempts.mayHaveExecuted()) {
      return true;
    }
    return switch (attempts.requestClass().idempotency()) {
      case IDEMPOTENT -> true;
      // What the client sends again may reach any backend.
      case IDEMPOTENT_WITH_KEY ->
          attempts.requestClass().deduplicationScope() == DeduplicationScope.ALL
              && context.nowMs() < attempts.deduplicatedUntilMs();
      case NOT_IDEMPOTENT -> false;
    };
  }
}
