package quotagateway.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.Status;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/**
 * Tests {@link RetryPolicy} with one gateway, whose budget begins with 30 retries, and a limit of
 * four attempts.
 */
class RetryPolicyTest {

  private static final double START_MS = 1_000_000;
  private static final double DEADLINE_MS = START_MS + 4_000;
  private static final double WINDOW_MS = 3_000;
  private static final double SERVICE_MS = 100;

  private final PolicySettings settings = PolicyFixture.settings(true, 1, false);
  private final DecisionContext context = new DecisionContext(settings, 7);
  private final RetryBudget budget = new RetryBudget(1);
  private final RetryPolicy retryPolicy = new RetryPolicy(context, budget);

  RetryPolicyTest() {
    context.start(START_MS);
  }

  private RequestAttempts attempts(
      Idempotency idempotency, DeduplicationScope scope, boolean forwardsBody) {
    RequestClass requestClass =
        new RequestClass("any", 1, 0, 1_000, 4_000, idempotency, scope, WINDOW_MS, false);
    RequestAttempts attempts =
        new RequestAttempts(requestClass, settings.capabilities(), forwardsBody);
    retryPolicy.recordStart(attempts);
    return attempts;
  }

  private RequestAttempts attempts(Idempotency idempotency) {
    return attempts(idempotency, DeduplicationScope.ALL, false);
  }

  private boolean mayRetry(RequestAttempts attempts) {
    return retryPolicy.mayRetry(attempts, DEADLINE_MS, SERVICE_MS);
  }

  private void spendBudget() {
    while (budget.hasToken()) {
      budget.spend();
    }
  }

  // A request that must not be executed twice may change something or be charged. If it may have
  // been executed, the client has to learn that the outcome is unknown.
  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT, ERROR, true, true",
    "IDEMPOTENT_WITH_KEY, RESET, true, true",
    "NOT_IDEMPOTENT, ERROR, false, false",
    "NOT_IDEMPOTENT, RESET, false, false",
    "NOT_IDEMPOTENT, TIMED_OUT, false, false",
    "NOT_IDEMPOTENT, MALFORMED_RESPONSE, false, false",
    "NOT_IDEMPOTENT, CONNECT_FAILED, true, true",
    "NOT_IDEMPOTENT, WRITE_INCOMPLETE, true, true",
    "NOT_IDEMPOTENT, REJECTED, true, true",
    "NOT_IDEMPOTENT, NOT_SENT, true, true"
  })
  void retriesAndRejectsOnlyRequestsThatMayBeExecutedAgain(
      Idempotency idempotency, Status status, boolean mayRetry, boolean mayReject) {
    RequestAttempts attempts = attempts(idempotency);
    attempts.recordEnd(status, START_MS);
    assertEquals(mayRetry, mayRetry(attempts));
    assertEquals(mayReject, retryPolicy.mayReject(attempts));
  }

  // Proof that the latest attempt was not executed does not apply to earlier attempts.
  @Test
  void doesNotRetryWhenEarlierAttemptMayHaveBeenExecuted() {
    RequestAttempts attempts = attempts(Idempotency.NOT_IDEMPOTENT);
    attempts.recordEnd(Status.RESET, START_MS);
    attempts.recordEnd(Status.CONNECT_FAILED, START_MS);
    assertFalse(mayRetry(attempts));
  }

  // The window begins with the first attempt that may have been executed. Retries stop shortly
  // before its end, because the retry has to reach the backend within it.
  @Test
  void retriesWithKeyUntilShortlyBeforeDeduplicationWindowEnds() {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT_WITH_KEY);
    assertEquals(Double.POSITIVE_INFINITY, retryPolicy.maxStartDelayMs(attempts));
    attempts.recordEnd(Status.ERROR, START_MS - 500);
    attempts.recordEnd(Status.ERROR, START_MS);
    double endMs = START_MS - 500 + WINDOW_MS;
    assertEquals(endMs - 15 - START_MS, retryPolicy.maxStartDelayMs(attempts));
    context.begin(endMs - 16);
    assertTrue(mayRetry(attempts));
    assertTrue(retryPolicy.mayStart(attempts, DEADLINE_MS));
    context.begin(endMs - 15);
    assertFalse(mayRetry(attempts));
    assertFalse(retryPolicy.mayStart(attempts, DEADLINE_MS));
    assertTrue(retryPolicy.mayReject(attempts));
    context.begin(endMs);
    assertFalse(retryPolicy.mayReject(attempts));
  }

  // If the client sends a rejected request again, it may reach a backend that does not know the
  // key.
  @ParameterizedTest
  @EnumSource(
      value = DeduplicationScope.class,
      names = {"ZONE", "CELL"})
  void doesNotRejectWhenOnlySomeBackendsDeduplicate(DeduplicationScope scope) {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT_WITH_KEY, scope, false);
    assertTrue(retryPolicy.mayReject(attempts));
    attempts.recordEnd(Status.RESET, START_MS);
    assertFalse(retryPolicy.mayReject(attempts));
  }

  // A forwarded body is not buffered, so the part that was sent cannot be sent again.
  @ParameterizedTest
  @CsvSource({"CONNECT_FAILED, true", "NOT_SENT, true", "WRITE_INCOMPLETE, false", "ERROR, false"})
  void retriesForwardedBodyOnlyWhenNothingWasSent(Status status, boolean mayRetry) {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, true);
    attempts.recordEnd(status, START_MS);
    assertEquals(mayRetry, mayRetry(attempts));
  }

  // Without a budget, backends that time out under load would receive every request several times.
  @ParameterizedTest
  @CsvSource({
    "ERROR, false",
    "TIMED_OUT, false",
    "RESET, false",
    "REJECTED, false",
    "CANCELLED, false",
    "CONNECT_FAILED, true",
    "WRITE_INCOMPLETE, true",
    "NOT_SENT, true",
    "MALFORMED_RESPONSE, true"
  })
  void needsBudgetWhenFailureMayIndicateOverload(Status status, boolean withoutBudget) {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT);
    attempts.recordEnd(status, START_MS);
    assertTrue(mayRetry(attempts));
    spendBudget();
    assertEquals(withoutBudget, mayRetry(attempts));
  }

  @Test
  void spendsTokenForNonExemptRetry() {
    spendBudget();
    for (int i = 0; i < 7; i++) {
      budget.earn();
    }
    assertTrue(budget.hasToken());
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT);
    attempts.recordEnd(Status.CONNECT_FAILED, START_MS);
    retryPolicy.recordStart(attempts);
    assertTrue(budget.hasToken());
    attempts.recordEnd(Status.ERROR, START_MS);
    retryPolicy.recordStart(attempts);
    assertFalse(budget.hasToken());
  }

  @Test
  void retriesOnlyWithHalfServiceTimeRemaining() {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT);
    context.begin(DEADLINE_MS - 50 - 15);
    assertTrue(mayRetry(attempts));
    context.begin(DEADLINE_MS - 50 - 14);
    assertFalse(mayRetry(attempts));
  }

  @Test
  void doesNotStartAttemptWithoutTimeForResponse() {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT);
    context.begin(DEADLINE_MS - 16);
    assertEquals(1, retryPolicy.remainingMs(DEADLINE_MS));
    assertTrue(retryPolicy.mayStart(attempts, DEADLINE_MS));
    context.begin(DEADLINE_MS - 15);
    assertFalse(retryPolicy.mayStart(attempts, DEADLINE_MS));
  }

  // Settings may change while a request is open. The lower of both limits applies.
  @ParameterizedTest
  @CsvSource({"1, 1", "2, 2", "9, 4"})
  void limitsAttemptsToLowerLimitOfBothSettings(int maxAttemptsNow, int expected) {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT);
    Capabilities before = settings.capabilities();
    context.replaceSettings(
        new PolicySettings(
            settings.gatewayCount(),
            settings.gatewayIndex(),
            settings.zone(),
            settings.maxRequestUnits(),
            settings.crossZonePrice(),
            settings.endpointWeightsTold(),
            settings.requestClasses(),
            settings.plans(),
            new Capabilities(
                before.sharedCounter(),
                before.counterTimeoutMs(),
                before.cancellation(),
                before.hedging(),
                maxAttemptsNow,
                before.maxOpenRequests(),
                before.retryAfter(),
                before.maxRetryAfterMs(),
                before.pollsDiscovery()),
            settings.rules()));
    while (retryPolicy.mayStart(attempts, DEADLINE_MS)) {
      retryPolicy.recordStart(attempts);
    }
    assertEquals(expected, attempts.startedCount());
  }
}
