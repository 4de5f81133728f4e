package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.event.Status;

/**
 * Tests that failures decrease the share of requests that call the counter, and that replies
 * increase it again.
 */
class CounterCallThrottleTest {

  private static final int DRAWS = 2_000;

  private final QuotaFixture fixture = new QuotaFixture(2, true);
  private final CounterCallThrottle throttle = new CounterCallThrottle(fixture.context);

  /** Returns the share of requests that may call the counter. */
  private double callShare() {
    int calls = 0;
    for (int i = 0; i < DRAWS; i++) {
      calls += throttle.tryAcquireCall() ? 1 : 0;
    }
    return calls / (double) DRAWS;
  }

  private void recordTimeouts(int times) {
    for (int i = 0; i < times; i++) {
      throttle.recordOutcome(Status.TIMED_OUT, false);
    }
  }

  @Test
  void callsCounterForAllRequestsWhileItReplies() {
    throttle.recordOutcome(Status.OK, false);
    assertEquals(1, callShare());
  }

  /** Concurrent calls time out together and count as one sign of overload. */
  @Test
  void decreasesCallProbabilityOncePerTimeout() {
    recordTimeouts(3);
    assertEquals(0.7, callShare(), 0.05);
    fixture.advanceTime(31);
    throttle.recordOutcome(Status.OK, false);
    recordTimeouts(1);
    assertEquals(0.7 * (0.7 + 0.02 + 0.05), callShare(), 0.05);
  }

  @Test
  void allowsOnlySpacedProbesAfterFourConsecutiveFailures() {
    recordTimeouts(CounterCallThrottle.MAX_CONSECUTIVE_FAILURES);
    assertEquals(0, callShare());
    fixture.advanceTime(187);
    assertFalse(throttle.tryAcquireCall(), "the interval is 250 ms, minus at most 25% jitter");
    fixture.advanceTime(313 - 187);
    assertTrue(throttle.tryAcquireCall());
    assertFalse(throttle.tryAcquireCall(), "one probe per interval");
  }

  @Test
  void growsProbeIntervalWithNumberOfGateways() {
    QuotaFixture largeFleet = new QuotaFixture(1_000, true);
    CounterCallThrottle largeFleetThrottle = new CounterCallThrottle(largeFleet.context);
    for (int i = 0; i < CounterCallThrottle.MAX_CONSECUTIVE_FAILURES; i++) {
      largeFleetThrottle.recordOutcome(Status.TIMED_OUT, false);
    }
    largeFleet.advanceTime(3_749);
    assertFalse(
        largeFleetThrottle.tryAcquireCall(), "5 ms for each of 1,000 gateways, minus 25% jitter");
    largeFleet.advanceTime(6_251 - 3_749);
    assertTrue(largeFleetThrottle.tryAcquireCall());
  }

  /** All gateways together must not overload a counter that has just become available again. */
  @Test
  void increasesCallsGraduallyAfterCounterRecovers() {
    recordTimeouts(CounterCallThrottle.MAX_CONSECUTIVE_FAILURES);
    throttle.recordOutcome(Status.OK, false);
    assertEquals(0.3, callShare(), 0.05);
    fixture.advanceTime(2_000);
    throttle.recordOutcome(Status.OK, false);
    assertEquals(0.3 + 0.02 + 0.05, callShare(), 0.05);
  }

  /** Neither a broken connection nor a stall of this gateway shows the state of the counter. */
  @Test
  void ignoresConnectionResetsAndFailuresDuringStalls() {
    for (int i = 0; i < 20; i++) {
      throttle.recordOutcome(Status.RESET, false);
      throttle.recordOutcome(Status.TIMED_OUT, true);
    }
    assertEquals(1, callShare());
  }

  @Test
  void keepsMinimumCallProbabilityDespiteRepeatedFailures() {
    for (int i = 0; i < 100; i++) {
      fixture.advanceTime(31);
      recordTimeouts(1);
    }
    throttle.recordOutcome(Status.OK, false);
    for (int i = 0; i < 100; i++) {
      fixture.advanceTime(31);
      recordTimeouts(3);
      throttle.recordOutcome(Status.OK, false);
    }
    assertTrue(callShare() > 0.01);
  }
}
