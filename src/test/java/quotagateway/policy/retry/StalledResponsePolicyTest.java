package quotagateway.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/** Tests when a stalled response is given up for another attempt. */
class StalledResponsePolicyTest {

  private static final double START_MS = 1_000_000;
  private static final double TIMEOUT_MS = 1_600;
  private static final double LONG_TIMEOUT_MS = 4_000;
  private static final double MEAN_SERVICE_MS = 100;
  private static final double CHECK_INTERVAL_MS = 25;
  private static final double WINDOW_MS = 700;

  /** Leaves another attempt twice the mean service time and the margin of the response. */
  private static final double LATEST_REPLACEMENT_MS = TIMEOUT_MS - 2 * MEAN_SERVICE_MS - 15;

  private static final StallEvidence UNKNOWN = new StallEvidence(false, false, Double.NaN);

  private final PolicySettings settings = PolicyFixture.settings(true, 2, false);
  private final DecisionContext context = new DecisionContext(settings, 7);
  private final RecentResponses recentResponses = new RecentResponses();
  private final StalledResponsePolicy policy =
      new StalledResponsePolicy(
          context, new RetryPolicy(context, new RetryBudget(2)), recentResponses);

  private RequestAttempts attempts(Idempotency idempotency) {
    RequestAttempts attempts =
        new RequestAttempts(
            new RequestClass(
                "any", 1, 0, 800, 1_600, idempotency, DeduplicationScope.ALL, WINDOW_MS, false),
            settings.capabilities(),
            false);
    attempts.recordStart();
    return attempts;
  }

  private void backendsAnsweredPromptly() {
    recentResponses.record(START_MS - 100, MEAN_SERVICE_MS);
  }

  private boolean mayGiveUp(RequestAttempts attempts, double afterMs, StallEvidence evidence) {
    return mayGiveUp(attempts, TIMEOUT_MS, afterMs, evidence);
  }

  private boolean mayGiveUp(
      RequestAttempts attempts, double timeoutMs, double afterMs, StallEvidence evidence) {
    context.begin(START_MS + afterMs);
    return policy.mayGiveUp(
        attempts,
        START_MS,
        START_MS + timeoutMs,
        MEAN_SERVICE_MS,
        START_MS + afterMs + CHECK_INTERVAL_MS,
        evidence);
  }

  /** Returns after which wait a response is given up, or -1 for never. */
  private double givenUpAfterMs(
      RequestAttempts attempts, double timeoutMs, StallEvidence evidence) {
    for (double ms = 250; ms < timeoutMs; ms += CHECK_INTERVAL_MS) {
      if (mayGiveUp(attempts, timeoutMs, ms, evidence)) {
        return ms;
      }
    }
    return -1;
  }

  private double givenUpAfterMs(StallEvidence evidence) {
    return givenUpAfterMs(attempts(Idempotency.IDEMPOTENT), TIMEOUT_MS, evidence);
  }

  /** Returns the same for a request of which an attempt was given up before. */
  private double givenUpAgainAfterMs(double timeoutMs, StallEvidence evidence) {
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT);
    attempts.recordCancellation();
    return givenUpAfterMs(attempts, timeoutMs, evidence);
  }

  private static void assertAtLastMoment(double givenUpMs) {
    assertTrue(givenUpMs <= LATEST_REPLACEMENT_MS, "no time is left for another attempt");
    assertTrue(givenUpMs > LATEST_REPLACEMENT_MS - 2 * CHECK_INTERVAL_MS, "given up too soon");
  }

  @Test
  void stallIsAwaitedForAsLongAsAnotherAttemptCouldStillFollow() {
    backendsAnsweredPromptly();
    assertAtLastMoment(givenUpAfterMs(UNKNOWN));
  }

  /** The mean follows slowly; a retry by it came too late to be answered. */
  @Test
  void stallIsGivenUpSoonerIfRecentResponsesTookLongerThanTheMean() {
    for (int i = 0; i < 16; i++) {
      recentResponses.record(START_MS - 100, i < 14 ? 300 : 900);
    }
    double latestMs = TIMEOUT_MS - 1.25 * 300 - 15;
    double givenUpMs = givenUpAfterMs(UNKNOWN);
    assertTrue(givenUpMs <= latestMs, "no time is left for another attempt");
    assertTrue(givenUpMs > latestMs - 2 * CHECK_INTERVAL_MS, "given up too soon");
  }

  /** One prompt response among slow ones does not show that another attempt would be prompt. */
  @Test
  void stallIsAwaitedIfLessTimeIsLeftThanResponsesUsuallyTake() {
    backendsAnsweredPromptly();
    for (int i = 0; i < 10; i++) {
      recentResponses.record(START_MS - 100, 1_400);
    }
    assertEquals(-1, givenUpAfterMs(UNKNOWN));
  }

  @Test
  void firstStallIsGivenUpAtOnceIfNearlyAllOfTheTimeIsLeft() {
    backendsAnsweredPromptly();
    RequestAttempts attempts = attempts(Idempotency.IDEMPOTENT);
    assertEquals(250, givenUpAfterMs(attempts, LONG_TIMEOUT_MS, UNKNOWN));
  }

  /** Each attempt was given up after 250 ms alike, so that no slow backend could serve it. */
  @Test
  void secondStallOfARequestIsAwaitedToTheEnd() {
    backendsAnsweredPromptly();
    assertEquals(-1, givenUpAgainAfterMs(TIMEOUT_MS, UNKNOWN));
    assertEquals(-1, givenUpAgainAfterMs(LONG_TIMEOUT_MS, UNKNOWN));
  }

  @Test
  void secondStallAtABackendThatNeverEndsItsResponsesIsAwaitedWhileAnotherAttemptCanFollow() {
    backendsAnsweredPromptly();
    StallEvidence unreliable = new StallEvidence(true, false, Double.NaN);
    assertAtLastMoment(givenUpAgainAfterMs(TIMEOUT_MS, unreliable));
  }

  @Test
  void responseIsAwaitedToTheEndIfNoBackendIsKnownToBeFaster() {
    assertEquals(-1, givenUpAfterMs(UNKNOWN));
    recentResponses.record(START_MS, TIMEOUT_MS - 250);
    assertEquals(-1, givenUpAfterMs(UNKNOWN));
  }

  @Test
  void responseIsAwaitedToTheEndIfStallsResume() {
    backendsAnsweredPromptly();
    assertEquals(-1, givenUpAfterMs(new StallEvidence(false, false, 0.5)));
    assertAtLastMoment(givenUpAfterMs(new StallEvidence(false, false, 0.4)));
  }

  /** The request may need the time at any backend, as this one answers others meanwhile. */
  @Test
  void responseIsAwaitedToTheEndIfItsBackendServesOthersMeanwhile() {
    backendsAnsweredPromptly();
    assertEquals(-1, givenUpAfterMs(new StallEvidence(false, true, Double.NaN)));
    assertAtLastMoment(givenUpAfterMs(new StallEvidence(false, true, 0)));
  }

  @Test
  void responseOfABackendThatNeverEndsItsResponsesIsGivenUpThoughOthersResume() {
    backendsAnsweredPromptly();
    assertAtLastMoment(givenUpAfterMs(new StallEvidence(true, false, 1)));
  }

  @Test
  void responseThatNoAttemptMayReplaceIsAwaited() {
    backendsAnsweredPromptly();
    StallEvidence unreliable = new StallEvidence(true, false, 0);
    assertFalse(mayGiveUp(attempts(Idempotency.NOT_IDEMPOTENT), 1_300, unreliable));
    RequestAttempts last = attempts(Idempotency.IDEMPOTENT);
    while (last.startedCount() < settings.capabilities().maxAttempts()) {
      last.recordStart();
    }
    assertFalse(mayGiveUp(last, 1_300, unreliable));
    assertFalse(mayGiveUp(attempts(Idempotency.IDEMPOTENT), TIMEOUT_MS - 60, unreliable));
  }

  /** An attempt behind the deduplication window could execute the request a second time. */
  @Test
  void keyedRequestIsRepeatedOnlyWithinItsDeduplicationWindow() {
    backendsAnsweredPromptly();
    RequestAttempts keyed = attempts(Idempotency.IDEMPOTENT_WITH_KEY);
    keyed.recordCancellation();
    StallEvidence unreliable = new StallEvidence(true, false, 0);
    assertFalse(mayGiveUp(keyed, WINDOW_MS - 100, unreliable));
    assertTrue(mayGiveUp(keyed, WINDOW_MS - 20, unreliable));
    assertFalse(mayGiveUp(keyed, WINDOW_MS, unreliable));
  }
}
