package quotagateway.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.Status;

/** Requests of a latency objective of 1 s, at four backends with two gateways: 10 for each. */
class LoadShedderTest {

  private static final double OBJECTIVE_MS = 1_000;
  private static final double MEAN_SERVICE_MS = 50;
  private static final int ATTEMPTS_IN_FLIGHT = 20;

  private final DecisionContext context =
      new DecisionContext(PolicyFixture.settings(true, 2, false), 7);
  private double nowMs = 1_000_000;
  private LoadShedder shedder;

  LoadShedderTest() {
    context.start(nowMs);
    shedder = new LoadShedder(context, () -> 4);
    startAttempts(ATTEMPTS_IN_FLIGHT);
  }

  /** Starts attempts and has the mean number in flight follow. */
  private void startAttempts(int attempts) {
    for (int i = 0; i < attempts; i++) {
      shedder.attemptStarted();
    }
    takeRequests();
  }

  private void takeRequests() {
    for (int i = 0; i < 50; i++) {
      shedder.recordRequest(1);
    }
  }

  private void pass(double ms) {
    nowMs += ms;
    context.begin(nowMs);
  }

  private void measure(int times, Status status, double latencyMs) {
    measure(times, status, latencyMs, 0);
  }

  private void measure(int times, Status status, double latencyMs, double stalledMs) {
    for (int i = 0; i < times; i++) {
      AttemptEnded event = new AttemptEnded("r", 0, 1, status, latencyMs, true, 0, null);
      shedder.recordOutcome(event, nowMs - latencyMs, OBJECTIVE_MS, stalledMs, MEAN_SERVICE_MS);
    }
  }

  @Test
  void shedsNothingBeforeAnythingWasMeasured() {
    assertFalse(shedder.isOverloaded(0));
    assertFalse(shedder.isOverloadedForUnconfirmed(0));
    assertTrue(shedder.hasSpareCapacity());
  }

  @Test
  void shortLatenciesShedNothing() {
    measure(200, Status.OK, 120);
    assertFalse(shedder.isOverloaded(0));
    assertFalse(shedder.isOverloadedForUnconfirmed(0));
    assertTrue(shedder.hasSpareCapacity());
  }

  /** 0.2 of the objective: confirmed requests are served, others only where they are valuable. */
  @Test
  void unconfirmedRequestsAreShedFirst() {
    measure(200, Status.OK, 200);
    assertFalse(shedder.isOverloaded(0));
    assertTrue(shedder.isOverloadedForUnconfirmed(0));
    assertFalse(shedder.isOverloadedForUnconfirmed(1.5));
    assertFalse(shedder.hasSpareCapacity());
  }

  /** 0.3 of the objective is too much for the least weight, 0.45 for every one. */
  @Test
  void requestsOfLowPriorityAreShedFirst() {
    measure(200, Status.OK, 300);
    assertTrue(shedder.isOverloaded(0.5), "half of the mean weight");
    assertFalse(shedder.isOverloaded(1), "the mean weight");
    assertFalse(shedder.isOverloaded(1.5));
    measure(200, Status.OK, 350);
    assertTrue(shedder.isOverloaded(1));
    assertFalse(shedder.isOverloaded(1.5));
    measure(200, Status.OK, 450);
    assertTrue(shedder.isOverloaded(1_000));
  }

  @Test
  void thePriorityIsRelativeToTheMeanOfRequests() {
    measure(200, Status.OK, 300);
    for (int i = 0; i < 1_000; i++) {
      shedder.recordRequest(10);
    }
    assertTrue(shedder.isOverloaded(1));
    assertFalse(shedder.isOverloaded(10));
  }

  @Test
  void theMeasureFadesWithoutResponses() {
    measure(200, Status.OK, 450);
    pass(4_000);
    assertFalse(shedder.isOverloaded(0.5), "450 ms divided by e");
  }

  /** More attempts in flight than when the latency was measured mean more latency. */
  @Test
  void moreAttemptsInFlightRaiseTheExpectation() {
    measure(200, Status.OK, 150);
    assertFalse(shedder.isOverloaded(0.5));
    startAttempts(40);
    assertEquals(60, shedder.attemptsInFlight().value(), 0.1);
    assertTrue(shedder.isOverloaded(1.5), "three times 150 ms");
    for (int i = 0; i < 40; i++) {
      shedder.attemptEnded();
    }
    takeRequests();
    assertFalse(shedder.isOverloaded(0.5));
  }

  /** Backends that hold next to nothing do not queue: their latency is no sign of load. */
  @Test
  void slowResponsesOfIdleBackendsShedNothing() {
    shedder = new LoadShedder(context, () -> 4);
    takeRequests();
    measure(200, Status.OK, 900);
    assertFalse(shedder.isOverloaded(0));
  }

  @Test
  void aRejectionByABackendCountsAsOneObjective() {
    measure(200, Status.OK, MEAN_SERVICE_MS);
    measure(8, Status.REJECTED, 5);
    assertFalse(shedder.isOverloaded(1.5), "0.05, and 0.95 of 1 - 0.95 to the power of 8: 0.37");
    measure(2, Status.REJECTED, 5);
    assertTrue(shedder.isOverloaded(1.5), "to the power of 10: 0.43");
  }

  @Test
  void aFailureThatIsNoWaitIsNotMeasured() {
    for (Status status :
        new Status[] {
          Status.ERROR, Status.CONNECT_FAILED, Status.RESET, Status.CANCELLED, Status.NOT_SENT
        }) {
      measure(200, status, 2_000);
    }
    assertTrue(shedder.hasSpareCapacity());
  }

  /** A time-out while others were answered lost its response, which says nothing of load. */
  @Test
  void aTimeOutCountsOnlyWhileNothingIsAnswered() {
    measure(1, Status.OK, 10);
    pass(500);
    measure(200, Status.TIMED_OUT, 1_000);
    assertTrue(shedder.hasSpareCapacity());
    pass(501);
    measure(200, Status.TIMED_OUT, 1_000);
    assertTrue(shedder.isOverloaded(1_000));
  }

  /** A single request that hangs must not shed all the others. */
  @Test
  void oneVerySlowResponseCountsAsTwoObjectives() {
    measure(200, Status.OK, MEAN_SERVICE_MS);
    measure(1, Status.OK, 60_000);
    assertFalse(shedder.isOverloaded(0), "0.95 of 0.05, and 0.05 of 2: 0.15");
  }

  /** Responses that come sooner than the mean show no spare capacity. */
  @Test
  void aLatencyIsAtLeastTheMeanServiceTime() {
    AttemptEnded event = new AttemptEnded("r", 0, 1, Status.OK, 1, true, 0, null);
    for (int i = 0; i < 200; i++) {
      shedder.recordOutcome(event, nowMs - 1, OBJECTIVE_MS, 0, 300);
    }
    assertTrue(shedder.isOverloaded(0.5), "300 ms of 1 s");
  }

  /** The gateway itself stood still: its backends were not slow. */
  @Test
  void aStallOfTheGatewayIsNoLatency() {
    measure(200, Status.OK, 900, 800);
    assertFalse(shedder.isOverloaded(0));
    measure(200, Status.OK, 900, 0);
    assertTrue(shedder.isOverloaded(1_000));
  }
}
