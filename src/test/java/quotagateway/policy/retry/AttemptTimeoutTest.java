package quotagateway.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.RequestClass;

/** Tests when an attempt may be cancelled to leave time for another one. */
class AttemptTimeoutTest {

  private static final Capabilities ALLOWED = PolicyFixture.settings(true, 1, false).capabilities();
  private static final Capabilities WITHOUT_CANCELLATION =
      new Capabilities(
          ALLOWED.sharedCounter(),
          ALLOWED.counterTimeoutMs(),
          false,
          ALLOWED.hedging(),
          ALLOWED.maxAttempts(),
          ALLOWED.maxOpenRequests(),
          ALLOWED.retryAfter(),
          ALLOWED.maxRetryAfterMs(),
          ALLOWED.pollsDiscovery());

  private final RetryBudget budget = new RetryBudget(1);
  private final RecentResponses recentResponses = new RecentResponses();
  private final AttemptTimeout timeout = new AttemptTimeout(budget, recentResponses);

  private static RequestAttempts attempts(
      Idempotency idempotency, Capabilities capabilities, boolean forwardsBody) {
    RequestClass requestClass =
        new RequestClass(
            "any", 1, 0, 1_000, 4_000, idempotency, DeduplicationScope.ALL, 3_000, false);
    return new RequestAttempts(requestClass, capabilities, forwardsBody);
  }

  @Test
  void treatsAttemptAsLostAfter65PercentOfObjective() {
    assertEquals(650, timeout.lossTimeoutMs(1_000));
  }

  // A cancelled attempt was replaced by one that needed the same time, of which less was left.
  @Test
  void anotherAttemptDoesNoBetterIfAllRecentResponsesTookAsLong() {
    assertTrue(timeout.mayAnotherDoBetter(1_000, 1_000), "nothing is known");
    recentResponses.record(1_200, 651);
    assertFalse(timeout.mayAnotherDoBetter(1_000, 1_000));
    assertTrue(timeout.mayAnotherDoBetter(1_000 + 3_201, 1_000), "the response is too old");
    recentResponses.record(1_300, 650);
    assertTrue(timeout.mayAnotherDoBetter(1_000, 1_000));
  }

  // A slow request looks like a lost one. If it were cancelled repeatedly, it would never complete.
  @Test
  void cancelsOncePerRequest() {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT, ALLOWED, false);
    assertTrue(timeout.mayCancel(attempts));
    attempts.recordCancellation();
    assertFalse(timeout.mayCancel(attempts));
  }

  @Test
  void doesNotCancelAfterResponseHasStarted() {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT, ALLOWED, false);
    attempts.recordResponseStart();
    assertFalse(timeout.mayCancel(attempts));
  }

  @Test
  void cancelsOnlyRequestsThatCanBeSentAgain() {
    assertTrue(timeout.mayCancel(attempts(Idempotency.IDEMPOTENT_WITH_KEY, ALLOWED, false)));
    assertFalse(timeout.mayCancel(attempts(Idempotency.NOT_IDEMPOTENT, ALLOWED, false)));
    assertFalse(timeout.mayCancel(attempts(Idempotency.IDEMPOTENT, ALLOWED, true)));
  }

  @Test
  void cancelsOnlyWhenSettingsAllowCancellation() {
    assertFalse(timeout.mayCancel(attempts(Idempotency.IDEMPOTENT, WITHOUT_CANCELLATION, false)));
  }

  // Under overload every attempt is slow, and cancelling all of them would only add load.
  @Test
  void cancelsOnlyWithinTheRetryBudget() {
    while (budget.hasToken()) {
      budget.spend();
    }
    assertFalse(timeout.mayCancel(attempts(Idempotency.IDEMPOTENT, ALLOWED, false)));
  }
}
