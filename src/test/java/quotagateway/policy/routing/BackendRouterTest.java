package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.context.ExponentialMean;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.LoadReport;
import quotagateway.policy.event.Status;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.ServiceRules;

/** Tests how a router with one backend handles outcomes of attempts and changes of settings. */
class BackendRouterTest {

  private static final double START_MS = RoutingFixture.START_MS;
  private static final double NEVER_STALLED = Double.NEGATIVE_INFINITY;

  private final PolicySettings settings = PolicyFixture.settings(true, 2, false);
  private final DecisionContext context = new DecisionContext(settings, 7);
  private final EndpointIndex index = new EndpointIndex(0);
  private final BackendRouter router =
      new BackendRouter(context, index, new ExponentialMean(1, 1, START_MS));
  private final RequestRouting request = RoutingFixture.idempotentRequest();
  private BackendStatus backend;

  @BeforeEach
  void listOneBackend() {
    context.start(START_MS);
    router.updateEndpoints(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, List.of(RoutingFixture.endpoint(0, 0))));
    backend = router.select(request, RoutingFixture.LATENCY_OBJECTIVE_MS);
    context.begin(START_MS + 10);
  }

  private AttemptRecord start() {
    AttemptRecord attempt = router.startAttempt(request, 0, backend);
    router.attemptReachedBackend(attempt);
    context.begin(context.nowMs() + 10);
    return attempt;
  }

  private void end(AttemptRecord attempt, Status status, LoadReport report) {
    router.attemptEnded(
        attempt, new AttemptEnded("r", 0, 0, status, 200, true, 0, report), NEVER_STALLED);
  }

  private void end(Status status) {
    end(start(), status, null);
  }

  private boolean isWarmingUp() {
    return backend.isWarmingUp(settings.rules(), context.nowMs());
  }

  @Test
  void countsAttemptAsOutstandingUntilItEnds() {
    AttemptRecord attempt = start();
    assertEquals(1, backend.outstandingAttempts.size());
    assertTrue(attempt.reachedBackend());
    assertSame(backend, request.lastBackend());
    end(attempt, Status.OK, null);
    assertTrue(backend.outstandingAttempts.isEmpty());
  }

  // A backend that streams a long response has responded and has no more work with the request.
  @Test
  void countsAttemptAsOutstandingUntilResponseStarts() {
    AttemptRecord attempt = start();
    router.responseStarted(attempt);
    assertTrue(backend.outstandingAttempts.isEmpty());
    assertEquals(context.nowMs(), backend.lastResponseAtMs);
    assertEquals(attempt.sentAtMs(), backend.latestAnsweredSentAtMs);
  }

  // The duration of an upload depends on the client, so the backend's time starts at the last byte.
  @Test
  void measuresStreamedRequestFromLastByte() {
    AttemptRecord attempt = router.startAttempt(request, 0, backend);
    assertTrue(backend.outstandingAttempts.isEmpty());
    context.begin(START_MS + 500);
    router.requestBodyComplete(attempt);
    assertEquals(START_MS + 500, attempt.sentAtMs());
    assertEquals(1, backend.outstandingAttempts.size());
  }

  // Any response shows that the backend works, even if the response cannot be read.
  @ParameterizedTest
  @CsvSource({
    "OK, true",
    "ERROR, true",
    "REJECTED, true",
    "MALFORMED_RESPONSE, true",
    "TIMED_OUT, false",
    "RESET, false",
    "CONNECT_FAILED, false",
    "WRITE_INCOMPLETE, false",
    "CANCELLED, false",
    "NOT_SENT, false"
  })
  void updatesLastResponseTimeOnAnyResponse(Status status, boolean responded) {
    backend.lastResponseAtMs = START_MS;
    end(status);
    assertEquals(responded ? context.nowMs() : START_MS, backend.lastResponseAtMs);
  }

  @ParameterizedTest
  @CsvSource({
    "OK, 0.4",
    "REJECTED, 0.5",
    "MALFORMED_RESPONSE, 0.5",
    "WRITE_INCOMPLETE, 0.5",
    "NOT_SENT, 0.5",
    "ERROR, 0.6",
    "RESET, 0.6",
    "TIMED_OUT, 0.6",
    "CONNECT_FAILED, 0.6"
  })
  void updatesFailureShareOnSuccessOrFailureOnly(Status status, double expected) {
    AttemptRecord attempt = start();
    backend.lastResponseAtMs = attempt.sentAtMs();
    backend.failureShare = 0.5 / backend.observationWeight(context.nowMs());
    if (expected == 0.5) {
      backend.failureShare = 0.5;
    }
    end(attempt, status, null);
    assertEquals(expected, backend.failureShare, 1e-9);
  }

  @Test
  void recordsLoadAndServiceTimeOnSuccess() {
    end(start(), Status.OK, new LoadReport(5, Double.NaN));
    assertEquals(102, router.fleetServiceMs(), 1e-9);
    assertEquals(5, backend.reportedInFlight);
  }

  @Test
  void ejectsFailingBackendAndClosesCircuitBreakerAfterSuccess() {
    backend.failureShare = 1;
    end(Status.ERROR);
    assertTrue(backend.halfOpen);
    assertTrue(backend.ejectedUntilMs > context.nowMs());
    end(Status.OK);
    assertFalse(backend.halfOpen);
  }

  @Test
  void pausesBackendAfterRejection() {
    end(Status.REJECTED);
    assertEquals(context.nowMs() + 200, backend.pausedUntilMs);
  }

  // A restart first shows as a refused connection; a response to an older attempt disproves it.
  @Test
  void suspectsRestartUntilEarlierAttemptSucceeds() {
    AttemptRecord earlier = start();
    end(Status.RESET);
    assertFalse(isWarmingUp());
    end(Status.CONNECT_FAILED);
    assertTrue(isWarmingUp());
    end(earlier, Status.OK, null);
    assertFalse(isWarmingUp());
  }

  @Test
  void recordsLossesForZoneAndCell() {
    end(Status.RESET);
    assertEquals(0.2, backend.zoneReachability.lossShare(context.nowMs()), 0.01);
    assertEquals(0.2, backend.cellReachability.lossShare(context.nowMs()), 0.01);
  }

  @Test
  void takesTokenForEachAttemptAtWarmingUpBackend() {
    end(Status.CONNECT_FAILED);
    backend.slowStartTokens = 1;
    router.startAttempt(request, 0, backend);
    assertEquals(0, backend.slowStartTokens);
  }

  @Test
  void updatesRankingAndWarmUpForChangedSettings() {
    end(Status.CONNECT_FAILED);
    ServiceRules rules = settings.rules();
    assertEquals(0, index.countWarm(rules.warmUpMs(), context.nowMs()));
    router.prepareSettings(
        new PolicySettings(
            2,
            1,
            settings.zone(),
            settings.maxRequestUnits(),
            settings.crossZonePrice(),
            settings.endpointWeightsTold(),
            settings.requestClasses(),
            settings.plans(),
            settings.capabilities(),
            new ServiceRules(
                rules.responseSlackMs(),
                rules.warmUpInitialShare(),
                0,
                rules.overloadMultiple(),
                rules.overloadWindowMs())));
    assertEquals(1, index.gatewayIndex());
    assertEquals(1, index.countWarm(rules.warmUpMs(), context.nowMs()));
  }
}
