package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.LoadReport;
import quotagateway.policy.settings.PolicySettings;

/** The expected wait at a backend, from what is known of its load. */
class LoadEstimatorTest {

  private static final double EXACT = 1e-9;

  private final RoutingFixture fixture = RoutingFixture.of(3, 4);
  private final LoadEstimator load = fixture.load;
  private final BackendStatus backend = fixture.backend(0);

  @Test
  void assumesTheDefaultServiceTimeBeforeAnyResponse() {
    assertEquals(100, load.fleetServiceMs());
    assertEquals(100, load.serviceMs(backend));
  }

  @Test
  void movesATenthToEachServiceTimeOfABackendAndAFiftiethForTheFleet() {
    load.recordServiceTime(backend, null, 200);
    assertEquals(102, load.fleetServiceMs(), EXACT);
    assertEquals(110, load.serviceMs(backend), EXACT);
  }

  // A latency counts the queue too, so what the backend reports of itself goes first.
  @Test
  void prefersTheReportedServiceTimeToTheLatency() {
    load.recordServiceTime(backend, new LoadReport(Double.NaN, 50), 900);
    assertEquals(95, load.serviceMs(backend), EXACT);
  }

  // A backend that was slow once is not avoided for ever.
  @Test
  void forgetsAServiceTimeWhileTheBackendAnswersNothing() {
    load.recordServiceTime(backend, null, 200);
    fixture.pass(3_000);
    assertEquals(102 + 8 * Math.exp(-1), load.serviceMs(backend), EXACT);
  }

  @Test
  void countsItsOwnAttemptsAndTheMeanOfOtherGateways() {
    fixture.attemptsInFlight.add(8, RoutingFixture.START_MS);
    fixture.attemptAt(backend);
    assertEquals(1 + 8 / 4.0 * 2, load.requestsInFlight(backend), EXACT);
  }

  // A report of a high load is old as soon as nothing is sent there: it must fade.
  @Test
  void trustsALoadReportLessAsItAges() {
    fixture.attemptAt(backend);
    load.recordReport(backend, new LoadReport(31, Double.NaN));
    assertEquals(31, load.requestsInFlight(backend), EXACT);
    fixture.pass(700);
    assertEquals(1 + 30 * Math.exp(-1), load.requestsInFlight(backend), EXACT);
  }

  @Test
  void keepsTheLastReportWhereOneTellsNoRequests() {
    load.recordReport(backend, new LoadReport(9, 50));
    load.recordReport(backend, new LoadReport(Double.NaN, 50));
    load.recordReport(backend, null);
    assertEquals(9, load.requestsInFlight(backend), EXACT);
  }

  @Test
  void costsAServiceTimeForEachRequestThere() {
    assertEquals(100, load.costMs(backend, RoutingFixture.OBJECTIVE_MS), EXACT);
    fixture.attemptAt(backend);
    assertEquals(200, load.costMs(backend, RoutingFixture.OBJECTIVE_MS), EXACT);
  }

  // A backend that hangs has one request and no queue: only the age of that one shows it.
  @Test
  void costsMoreOnceTheOldestAttemptIsOverdue() {
    fixture.attemptAt(backend);
    fixture.pass(250);
    assertEquals(200, load.costMs(backend, RoutingFixture.OBJECTIVE_MS), EXACT);
    fixture.pass(40);
    assertEquals(240, load.costMs(backend, RoutingFixture.OBJECTIVE_MS), EXACT);
  }

  @Test
  void costsMoreTheMoreItFailsAndHalfWhileHalfOpen() {
    backend.failureShare = 0.5;
    assertEquals(300, load.costMs(backend, RoutingFixture.OBJECTIVE_MS), EXACT);
    backend.halfOpen = true;
    assertEquals(150, load.costMs(backend, RoutingFixture.OBJECTIVE_MS), EXACT);
  }

  @Test
  void costsAShareOfTheObjectiveInAnotherZone() {
    PolicySettings free = PolicyFixture.settings(true, 3, false);
    PolicySettings priced =
        new PolicySettings(
            free.gatewayCount(),
            free.gatewayIndex(),
            free.zone(),
            free.maxRequestUnits(),
            0.3,
            free.endpointWeightsTold(),
            free.requestClasses(),
            free.plans(),
            free.capabilities(),
            free.rules());
    fixture.context.replaceSettings(priced);
    assertEquals(100, load.costMs(fixture.backend(0), 1_000), EXACT);
    assertEquals(400, load.costMs(fixture.backend(1), 1_000), EXACT);
  }

  @Test
  void estimatesWithoutAnyServingBackend() {
    DecisionContext context = fixture.context;
    LoadEstimator empty =
        new LoadEstimator(context, new EndpointIndex(0), fixture.attemptsInFlight);
    assertEquals(0, empty.requestsInFlight(backend));
  }

  // A backend of twice the capacity has half the queue with as many requests.
  @Test
  void countsRequestsInProportionToTheWeightOfABackend() {
    fixture.index.update(
        backend.slot,
        fixture.index.group(backend.slot),
        EndpointState.SERVING,
        5,
        0,
        10_000,
        RoutingFixture.START_MS);
    fixture.attemptAt(backend);
    assertEquals(100 * (1 + 1 / (5 / 2.0)), load.costMs(backend, 1_000), EXACT);
  }

  @Test
  void forgetsFailuresWhileTheBackendAnswersNothing() {
    backend.failureShare = 0.5;
    fixture.pass(3_000);
    assertEquals(100 * (1 + 2 * Math.exp(-1)), load.costMs(backend, 1_000), EXACT);
  }
}
