package quotagateway.policy.retry;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;

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

  /** Time that nearly all attempts need, as a multiple of the mean service time. */
  private static final double USUAL_SERVICE_TIME_RATIO = 2;

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
    return !attempts.isBodyPartlySent()
        && mayExecuteAgain(attempts)
        && (budget.hasToken() || attempts.isExemptFromBudget())
        && hasTimeForRetry(deadlineAtMs, meanServiceMs);
  }

  private boolean hasTimeForRetry(double deadlineAtMs, double meanServiceMs) {
    return remainingMs(deadlineAtMs) >= meanServiceMs * MIN_REMAINING_SERVICE_TIME_RATIO;
  }

  /**
   * Returns whether another attempt could follow if the one in flight, which has reached its
   * backend, were given up now.
   *
   * @param sentAtMs when the attempt in flight was sent
   */
  public boolean mayReplace(
      RequestAttempts attempts, double sentAtMs, double deadlineAtMs, double meanServiceMs) {
    return !attempts.hasResponseStarted()
        && !attempts.forwardsBody()
        && attempts.requestClass().idempotency() != Idempotency.NOT_IDEMPOTENT
        && context.nowMs() < repeatableUntilMs(attempts, sentAtMs)
        && attempts.startedCount() < maxAttempts(attempts)
        && hasTimeForRetry(deadlineAtMs, meanServiceMs);
  }

  /**
   * Returns until when the attempt in flight can be given up so that another attempt still has the
   * time that it usually needs.
   */
  public double latestReplacementAtMs(
      RequestAttempts attempts, double sentAtMs, double deadlineAtMs, double meanServiceMs) {
    double neededMs = meanServiceMs * USUAL_SERVICE_TIME_RATIO + RESPONSE_MARGIN_MS;
    return Math.min(deadlineAtMs - neededMs, repeatableUntilMs(attempts, sentAtMs));
  }

  /** Returns until when another attempt may start if the one in flight may have been executed. */
  private static double repeatableUntilMs(RequestAttempts attempts, double sentAtMs) {
    if (attempts.requestClass().idempotency() != Idempotency.IDEMPOTENT_WITH_KEY) {
      return Double.POSITIVE_INFINITY;
    }
    double windowEndMs = sentAtMs + attempts.requestClass().deduplicationWindowMs();
    return Math.min(windowEndMs, attempts.deduplicatedUntilMs()) - RESPONSE_MARGIN_MS;
  }

  private int maxAttempts(RequestAttempts attempts) {
    return Math.min(
        attempts.capabilities().maxAttempts(), context.settings().capabilities().maxAttempts());
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
    return remainingMs(deadlineAtMs) > 0
        && maxStartDelayMs(attempts) > 0
        && attempts.startedCount() < maxAttempts(attempts);
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
