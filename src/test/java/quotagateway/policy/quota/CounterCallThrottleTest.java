package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.event.Status;

/** Calls to a counter that fails become fewer, and come back with its replies. */
class CounterCallThrottleTest {

  private static final int DRAWS = 2_000;

  private final QuotaFixture fixture = new QuotaFixture(2, true);
  private final CounterCallThrottle throttle = new CounterCallThrottle(fixture.context);

  /** Share of requests that may call. */
  private double callShare() {
    int calls = 0;
    for (int i = 0; i < DRAWS; i++) {
      calls += throttle.tryAcquireCall() ? 1 : 0;
    }
    return calls / (double) DRAWS;
  }

  private void fail(int times) {
    for (int i = 0; i < times; i++) {
      throttle.recordOutcome(Status.TIMED_OUT, false);
    }
  }

  @Test
  void allRequestsCallACounterThatReplies() {
    throttle.recordOutcome(Status.OK, false);
    assertEquals(1, callShare());
  }

  /** Calls that were under way together time out together; that is one sign of overload. */
  @Test
  void failuresWithinOneTimeLimitDecreaseTheCallsOnce() {
    fail(3);
    assertEquals(0.7, callShare(), 0.05);
    fixture.pass(31);
    throttle.recordOutcome(Status.OK, false);
    fail(1);
    assertEquals(0.7 * (0.7 + 0.02 + 0.05), callShare(), 0.05);
  }

  @Test
  void callsStopAfterFourFailuresInARowButForSpacedProbes() {
    fail(CounterCallThrottle.MAX_CONSECUTIVE_FAILURES);
    assertEquals(0, callShare());
    fixture.pass(187);
    assertFalse(throttle.tryAcquireCall(), "probes are at least three quarters of 250 ms apart");
    fixture.pass(313 - 187);
    assertTrue(throttle.tryAcquireCall());
    assertFalse(throttle.tryAcquireCall(), "one probe at a time");
  }

  @Test
  void probesOfAllGatewaysTogetherAreBounded() {
    QuotaFixture large = new QuotaFixture(1_000, true);
    CounterCallThrottle oneOfMany = new CounterCallThrottle(large.context);
    for (int i = 0; i < CounterCallThrottle.MAX_CONSECUTIVE_FAILURES; i++) {
      oneOfMany.recordOutcome(Status.TIMED_OUT, false);
    }
    large.pass(3_749);
    assertFalse(oneOfMany.tryAcquireCall(), "5 ms for each of 1,000 gateways, less a quarter");
    large.pass(6_251 - 3_749);
    assertTrue(oneOfMany.tryAcquireCall());
  }

  /** All gateways together must not overrun a counter that has just come back. */
  @Test
  void aCounterThatComesBackGetsAPartOfTheCallsAndThenMore() {
    fail(CounterCallThrottle.MAX_CONSECUTIVE_FAILURES);
    throttle.recordOutcome(Status.OK, false);
    assertEquals(0.3, callShare(), 0.05);
    fixture.pass(2_000);
    throttle.recordOutcome(Status.OK, false);
    assertEquals(0.3 + 0.02 + 0.05, callShare(), 0.05);
  }

  /** A connection that breaks shows nothing of the counter, nor does a stall of this gateway. */
  @Test
  void resetConnectionsAndStallsOfTheGatewayCountAsNoFailure() {
    for (int i = 0; i < 20; i++) {
      throttle.recordOutcome(Status.RESET, false);
      throttle.recordOutcome(Status.TIMED_OUT, true);
    }
    assertEquals(1, callShare());
  }

  @Test
  void someCallsRemainHoweverOftenTheyFail() {
    for (int i = 0; i < 100; i++) {
      fixture.pass(31);
      fail(1);
    }
    throttle.recordOutcome(Status.OK, false);
    for (int i = 0; i < 100; i++) {
      fixture.pass(31);
      fail(3);
      throttle.recordOutcome(Status.OK, false);
    }
    assertTrue(callShare() > 0.01);
  }
}
