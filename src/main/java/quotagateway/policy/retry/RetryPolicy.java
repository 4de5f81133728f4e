package quotagateway.policy.retry;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.DeduplicationScope;

/**
 * Decides which requests get another attempt, and whether a request that gets none may be rejected.
 * Owned by the policy's thread.
 */
public final class RetryPolicy {

  /**
   * Minimum time before the client's deadline at which a response must be available to reach the
   * client in time.
   */
  public static final double RESPONSE_MARGIN_MS = 15;

  /**
   * Minimum remaining time for a retry, as a fraction of the mean service time. With less, the
   * retry would rarely be answered in time.
   */
  private static final double MIN_REMAINING_SERVICE_TIME_RATIO = 0.5;

  private final DecisionContext context;
  private final RetryBudget budget;

  /** Creates a policy that spends from a retry budget. */
  public RetryPolicy(DecisionContext context, RetryBudget budget) {
    this.context = context;
    this.budget = budget;
  }

  /**
   * Returns whether a request gets another attempt after a failed one: its class allows it, its
   * body can be sent again, the budget allows a retry, and enough time remains.
   *
   * @param deadlineAtMs the client's deadline
   * @param meanServiceMs mean service time of all backends
   */
  public boolean mayRetry(RequestAttempts attempts, double deadlineAtMs, double meanServiceMs) {
    double remainingMs = deadlineAtMs - context.nowMs();
    double neededMs = meanServiceMs * MIN_REMAINING_SERVICE_TIME_RATIO + RESPONSE_MARGIN_MS;
    return !attempts.isBodyPartlySent()
        && mayExecuteAgain(attempts)
        && (budget.hasToken() || attempts.isExemptFromBudget())
        && remainingMs >= neededMs;
  }

  /**
   * Returns whether the request may be executed again. With an idempotency key, this requires that
   * the deduplication window stays open for longer than the response margin.
   */
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
   * Returns whether an attempt may start now: time remains, and the number of attempts is below the
   * limits of both the settings at the request's arrival and the current settings.
   */
  public boolean mayStart(RequestAttempts attempts, double deadlineAtMs) {
    int maxAttempts =
        Math.min(
            attempts.capabilities().maxAttempts(), context.settings().capabilities().maxAttempts());
    return remainingMs(deadlineAtMs) > 0
        && maxStartDelayMs(attempts) > 0
        && attempts.startedCount() < maxAttempts;
  }

  /**
   * Returns the time within which an attempt has to be answered for the response to reach the
   * client before its deadline.
   */
  public double remainingMs(double deadlineAtMs) {
    return deadlineAtMs - context.nowMs() - RESPONSE_MARGIN_MS;
  }

  /**
   * Returns the time within which an attempt has to be written completely; infinite if there is no
   * limit.
   *
   * <p>Without this limit, a retry that waits for a backend or for a connection could outlast the
   * deduplication window, and the request could be executed twice.
   */
  public double maxStartDelayMs(RequestAttempts attempts) {
    return attempts.needsDeduplication()
        ? attempts.deduplicatedUntilMs() - RESPONSE_MARGIN_MS - context.nowMs()
        : Double.POSITIVE_INFINITY;
  }

  /** Records the start of an attempt, and adds to the retry budget or spends from it. */
  public void recordStart(RequestAttempts attempts) {
    if (attempts.startedCount() == 0) {
      budget.earn();
    } else if (!attempts.isExemptFromBudget()) {
      budget.spend();
    }
    attempts.recordStart();
  }

  /**
   * Returns whether a request without a response may be rejected: it was not executed, or repeating
   * it does no harm if the client sends it again.
   */
  public boolean mayReject(RequestAttempts attempts) {
    if (!attempts.mayHaveExecuted()) {
      return true;
    }
    return switch (attempts.requestClass().idempotency()) {
      case IDEMPOTENT -> true;
      // A request that the client sends again may reach any backend.
      case IDEMPOTENT_WITH_KEY ->
          attempts.requestClass().deduplicationScope() == DeduplicationScope.ALL
              && context.nowMs() < attempts.deduplicatedUntilMs();
      case NOT_IDEMPOTENT -> false;
    };
  }
}
