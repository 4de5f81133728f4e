package quotagateway.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.Status;

/**
 * Tests load shedding with a latency objective of 1 s, four backends and two gateways: 10 requests
 * per backend.
 */
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

  /** Starts attempts and updates the mean number of attempts in flight. */
  private void startAttempts(int attempts) {
    for (int i = 0; i < attempts; i++) {
      shedder.recordAttemptStart();
    }
    recordRequests();
  }

  private void recordRequests() {
    for (int i = 0; i < 50; i++) {
      shedder.recordRequest(1);
    }
  }

  private void advanceTime(double ms) {
    nowMs += ms;
    context.begin(nowMs);
  }

  private void recordOutcomes(int times, Status status, double latencyMs) {
    recordOutcomes(times, status, latencyMs, 0);
  }

  private void recordOutcomes(int times, Status status, double latencyMs, double stalledMs) {
    for (int i = 0; i < times; i++) {
      AttemptEnded event = new AttemptEnded("r", 0, 1, status, latencyMs, true, 0, null);
      shedder.recordOutcome(event, nowMs - latencyMs, OBJECTIVE_MS, stalledMs, MEAN_SERVICE_MS);
    }
  }

  @Test
  void shedsNothingBeforeFirstMeasurement() {
    assertFalse(shedder.isOverloaded(0));
    assertFalse(shedder.isOverloadedForUnconfirmed(0));
    assertTrue(shedder.hasSpareCapacity());
  }

  @Test
  void shedsNothingAtShortLatencies() {
    recordOutcomes(200, Status.OK, 120);
    assertFalse(shedder.isOverloaded(0));
    assertFalse(shedder.isOverloadedForUnconfirmed(0));
    assertTrue(shedder.hasSpareCapacity());
  }

  /**
   * At 0.2 of the objective, all confirmed requests are admitted, but only valuable unconfirmed
   * ones.
   */
  @Test
  void shedsUnconfirmedRequestsFirst() {
    recordOutcomes(200, Status.OK, 200);
    assertFalse(shedder.isOverloaded(0));
    assertTrue(shedder.isOverloadedForUnconfirmed(0));
    assertFalse(shedder.isOverloadedForUnconfirmed(1.5));
    assertFalse(shedder.hasSpareCapacity());
  }

  /**
   * At 0.3 of the objective, requests of the lowest priority are shed; at 0.45, all requests are.
   */
  @Test
  void shedsRequestsOfLowPriorityFirst() {
    recordOutcomes(200, Status.OK, 300);
    assertTrue(shedder.isOverloaded(0.5), "half of the mean priority weight");
    assertFalse(shedder.isOverloaded(1), "the mean priority weight");
    assertFalse(shedder.isOverloaded(1.5));
    recordOutcomes(200, Status.OK, 350);
    assertTrue(shedder.isOverloaded(1));
    assertFalse(shedder.isOverloaded(1.5));
    recordOutcomes(200, Status.OK, 450);
    assertTrue(shedder.isOverloaded(1_000));
  }

  @Test
  void comparesPriorityWithMeanOfRequests() {
    recordOutcomes(200, Status.OK, 300);
    for (int i = 0; i < 1_000; i++) {
      shedder.recordRequest(10);
    }
    assertTrue(shedder.isOverloaded(1));
    assertFalse(shedder.isOverloaded(10));
  }

  @Test
  void latencyRatioDecaysWithoutResponses() {
    recordOutcomes(200, Status.OK, 450);
    advanceTime(4_000);
    assertFalse(shedder.isOverloaded(0.5), "450 ms divided by e");
  }

  /**
   * More attempts in flight than at the time of the measurement lead to a higher expected latency.
   */
  @Test
  void raisesExpectedLatencyWithMoreAttemptsInFlight() {
    recordOutcomes(200, Status.OK, 150);
    assertFalse(shedder.isOverloaded(0.5));
    startAttempts(40);
    assertEquals(60, shedder.attemptsInFlight().value(), 0.1);
    assertTrue(shedder.isOverloaded(1.5), "three times 150 ms");
    for (int i = 0; i < 40; i++) {
      shedder.recordAttemptEnd();
    }
    recordRequests();
    assertFalse(shedder.isOverloaded(0.5));
  }

  /** Backends with very few requests do not queue, so their latency is not a sign of load. */
  @Test
  void shedsNothingAfterSlowResponsesOfIdleBackends() {
    shedder = new LoadShedder(context, () -> 4);
    recordRequests();
    recordOutcomes(200, Status.OK, 900);
    assertFalse(shedder.isOverloaded(0));
  }

  @Test
  void countsBackendRejectionAsOneObjective() {
    recordOutcomes(200, Status.OK, MEAN_SERVICE_MS);
    recordOutcomes(8, Status.REJECTED, 5);
    assertFalse(shedder.isOverloaded(1.5), "0.05 + 0.95 * (1 - 0.95^8) = 0.37");
    recordOutcomes(2, Status.REJECTED, 5);
    assertTrue(shedder.isOverloaded(1.5), "0.05 + 0.95 * (1 - 0.95^10) = 0.43");
  }

  @Test
  void ignoresFailuresThatDoNotIndicateLoad() {
    for (Status status :
        new Status[] {
          Status.ERROR, Status.CONNECT_FAILED, Status.RESET, Status.CANCELLED, Status.NOT_SENT
        }) {
      recordOutcomes(200, status, 2_000);
    }
    assertTrue(shedder.hasSpareCapacity());
  }

  /** If other attempts succeeded in the meantime, a timeout means a lost response, not load. */
  @Test
  void countsTimeoutsOnlyWhenNoAttemptSucceededSince() {
    recordOutcomes(1, Status.OK, 10);
    advanceTime(500);
    recordOutcomes(200, Status.TIMED_OUT, 1_000);
    assertTrue(shedder.hasSpareCapacity());
    advanceTime(501);
    recordOutcomes(200, Status.TIMED_OUT, 1_000);
    assertTrue(shedder.isOverloaded(1_000));
  }

  /** A single request that hangs must not cause other requests to be shed. */
  @Test
  void countsVerySlowResponseAsTwoObjectives() {
    recordOutcomes(200, Status.OK, MEAN_SERVICE_MS);
    recordOutcomes(1, Status.OK, 60_000);
    assertFalse(shedder.isOverloaded(0), "0.95 * 0.05 + 0.05 * 2 = 0.15");
  }

  /** Responses faster than the mean service time are not a sign of spare capacity. */
  @Test
  void countsLatencyAsAtLeastMeanServiceTime() {
    AttemptEnded event = new AttemptEnded("r", 0, 1, Status.OK, 1, true, 0, null);
    for (int i = 0; i < 200; i++) {
      shedder.recordOutcome(event, nowMs - 1, OBJECTIVE_MS, 0, 300);
    }
    assertTrue(shedder.isOverloaded(0.5), "300 ms of 1 s");
  }

  /** A stall of the gateway itself does not mean that its backends were slow. */
  @Test
  void subtractsGatewayStallFromLatency() {
    recordOutcomes(200, Status.OK, 900, 800);
    assertFalse(shedder.isOverloaded(0));
    recordOutcomes(200, Status.OK, 900, 0);
    assertTrue(shedder.isOverloaded(1_000));
  }
}
