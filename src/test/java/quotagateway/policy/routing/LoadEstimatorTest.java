package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.LoadReport;
import quotagateway.policy.settings.PolicySettings;

/** Tests the estimates of a backend's service time, load and cost. */
class LoadEstimatorTest {

  private static final double TOLERANCE = 1e-9;

  private final RoutingFixture fixture = RoutingFixture.of(3, 4);
  private final LoadEstimator load = fixture.load;
  private final BackendStatus backend = fixture.backend(0);

  @Test
  void assumesDefaultServiceTimeBeforeFirstResponse() {
    assertEquals(100, load.fleetServiceMs());
    assertEquals(100, load.serviceMs(backend));
  }

  @Test
  void weightsServiceTimeByOneTenthForBackendAndOneFiftiethForFleet() {
    load.recordServiceTime(backend, null, 200);
    assertEquals(102, load.fleetServiceMs(), TOLERANCE);
    assertEquals(110, load.serviceMs(backend), TOLERANCE);
  }

  // The latency includes the time in the backend's queue, so the reported service time is
  // preferred.
  @Test
  void prefersReportedServiceTimeToLatency() {
    load.recordServiceTime(backend, new LoadReport(Double.NaN, 50), 900);
    assertEquals(95, load.serviceMs(backend), TOLERANCE);
  }

  // A backend that was slow once must not be avoided forever.
  @Test
  void decaysServiceTimeWhileBackendDoesNotRespond() {
    load.recordServiceTime(backend, null, 200);
    fixture.advanceMs(3_000);
    assertEquals(102 + 8 * Math.exp(-1), load.serviceMs(backend), TOLERANCE);
  }

  @Test
  void countsOwnAttemptsAndExpectedAttemptsOfOtherGateways() {
    fixture.attemptsInFlight.add(8, RoutingFixture.START_MS);
    fixture.startAttemptAt(backend);
    assertEquals(1 + 8 / 4.0 * 2, load.requestsInFlight(backend), TOLERANCE);
  }

  // A backend with a high reported load gets no requests and so sends no new report: the old report
  // must decay.
  @Test
  void decaysLoadReportWithAge() {
    fixture.startAttemptAt(backend);
    load.recordReport(backend, new LoadReport(31, Double.NaN));
    assertEquals(31, load.requestsInFlight(backend), TOLERANCE);
    fixture.advanceMs(700);
    assertEquals(1 + 30 * Math.exp(-1), load.requestsInFlight(backend), TOLERANCE);
  }

  @Test
  void keepsLatestReportIfNewOneHasNoRequestsInFlight() {
    load.recordReport(backend, new LoadReport(9, 50));
    load.recordReport(backend, new LoadReport(Double.NaN, 50));
    load.recordReport(backend, null);
    assertEquals(9, load.requestsInFlight(backend), TOLERANCE);
  }

  @Test
  void addsServiceTimeToCostForEachRequestInFlight() {
    assertEquals(100, load.costMs(backend, RoutingFixture.LATENCY_OBJECTIVE_MS), TOLERANCE);
    fixture.startAttemptAt(backend);
    assertEquals(200, load.costMs(backend, RoutingFixture.LATENCY_OBJECTIVE_MS), TOLERANCE);
  }

  // A stuck backend may have one request and no queue, so that only the request's age shows the
  // fault.
  @Test
  void increasesCostIfOldestAttemptIsOverdue() {
    fixture.startAttemptAt(backend);
    fixture.advanceMs(250);
    assertEquals(200, load.costMs(backend, RoutingFixture.LATENCY_OBJECTIVE_MS), TOLERANCE);
    fixture.advanceMs(40);
    assertEquals(240, load.costMs(backend, RoutingFixture.LATENCY_OBJECTIVE_MS), TOLERANCE);
  }

  @Test
  void increasesCostWithFailureShareAndHalvesItWhileHalfOpen() {
    backend.failureShare = 0.5;
    assertEquals(300, load.costMs(backend, RoutingFixture.LATENCY_OBJECTIVE_MS), TOLERANCE);
    backend.halfOpen = true;
    assertEquals(150, load.costMs(backend, RoutingFixture.LATENCY_OBJECTIVE_MS), TOLERANCE);
  }

  @Test
  void addsShareOfLatencyObjectiveToCostInOtherZone() {
    PolicySettings withoutPrice = PolicyFixture.settings(true, 3, false);
    PolicySettings withPrice =
        new PolicySettings(
            withoutPrice.gatewayCount(),
            withoutPrice.gatewayIndex(),
            withoutPrice.zone(),
            withoutPrice.maxRequestUnits(),
            0.3,
            withoutPrice.endpointWeightsTold(),
            withoutPrice.requestClasses(),
            withoutPrice.plans(),
            withoutPrice.capabilities(),
            withoutPrice.rules());
    fixture.context.replaceSettings(withPrice);
    assertEquals(100, load.costMs(fixture.backend(0), 1_000), TOLERANCE);
    assertEquals(400, load.costMs(fixture.backend(1), 1_000), TOLERANCE);
  }

  @Test
  void estimatesRequestsInFlightWithoutServingBackends() {
    DecisionContext context = fixture.context;
    LoadEstimator empty =
        new LoadEstimator(context, new EndpointIndex(0), fixture.attemptsInFlight);
    assertEquals(0, empty.requestsInFlight(backend));
  }

  // With the same requests, a backend of twice the capacity has half the queue.
  @Test
  void scalesCostOfRequestsInFlightByBackendWeight() {
    fixture.index.update(
        backend.slot,
        fixture.index.group(backend.slot),
        EndpointState.SERVING,
        5,
        0,
        10_000,
        RoutingFixture.START_MS);
    fixture.startAttemptAt(backend);
    assertEquals(100 * (1 + 1 / (5 / 2.0)), load.costMs(backend, 1_000), TOLERANCE);
  }

  @Test
  void decaysFailureCostWhileBackendDoesNotRespond() {
    backend.failureShare = 0.5;
    fixture.advanceMs(3_000);
    assertEquals(100 * (1 + 2 * Math.exp(-1)), load.costMs(backend, 1_000), TOLERANCE);
  }
}
