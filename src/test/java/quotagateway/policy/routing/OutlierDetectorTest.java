package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import quotagateway.policy.event.Status;
import quotagateway.policy.settings.Idempotency;

/** Tests the ejection, probing and recovery of backends. */
class OutlierDetectorTest {

  private static final double NEVER_STALLED = Double.NEGATIVE_INFINITY;

  private final RoutingFixture fixture = RoutingFixture.of(2, 4);
  private final OutlierDetector outliers = fixture.outliers;
  private final BackendStatus backend = fixture.backend(0);

  private boolean isUnavailable() {
    return outliers.isUnavailableFor(backend, Idempotency.IDEMPOTENT);
  }

  private boolean isFailure(AttemptRecord attempt, Status status, double stalledUntilMs) {
    return outliers.isFailure(backend, attempt, status, stalledUntilMs);
  }

  // A backend that answers every request with an error fails a share of the traffic until it is
  // ejected; a single error does not justify losing the backend's capacity.
  @Test
  void ejectsBackendAfterThreeConsecutiveFailures() {
    fixture.recordFailures(backend, 2);
    assertFalse(isUnavailable());
    fixture.recordFailures(backend, 1);
    assertTrue(isUnavailable());
  }

  // A backend that keeps failing is probed less and less often. The limit of about eight seconds
  // ensures that a repaired backend is soon used again.
  @ParameterizedTest
  @CsvSource({"0, 1000", "1, 2000", "2, 4000", "3, 8000", "4, 8000", "9, 8000"})
  void doublesEjectionTimeUpToEightSeconds(int ejectionsBefore, double ejectionMs) {
    backend.ejections = ejectionsBefore;
    fixture.recordFailures(backend, 3);
    double ejectedMs = backend.ejectedUntilMs - RoutingFixture.START_MS;
    assertTrue(ejectedMs >= ejectionMs && ejectedMs <= 1.3 * ejectionMs, ejectedMs + " ms");
    assertEquals(ejectionsBefore + 1, backend.ejections);
  }

  // A half-open backend gets a single probe, which must be a request that may be executed twice.
  @Test
  void allowsOneIdempotentProbeAfterEjection() {
    fixture.recordFailures(backend, 3);
    fixture.advanceMs(1_301);
    assertFalse(isUnavailable());
    assertTrue(outliers.isUnavailableFor(backend, Idempotency.NOT_IDEMPOTENT));
    fixture.startAttemptAt(backend);
    assertTrue(isUnavailable());
  }

  @Test
  void ejectsBackendAgainIfProbeFails() {
    fixture.recordFailures(backend, 3);
    fixture.advanceMs(60_000);
    backend.failureShare = 0;
    fixture.recordFailures(backend, 1);
    assertTrue(isUnavailable());
    assertEquals(2, backend.ejections);
  }

  // If a backend fails with many attempts in flight, each of them used to count as another failure,
  // so that a momentary fault ejected the backend for up to eight seconds.
  @Test
  void ignoresAttemptsSentBeforeEjection() {
    AttemptRecord inFlight = fixture.startAttemptAt(backend);
    fixture.advanceMs(100);
    fixture.recordFailures(backend, 3);
    double ejectedUntilMs = backend.ejectedUntilMs;
    fixture.advanceMs(50);
    outliers.recordSample(backend, true, 1);
    outliers.ejectIfFailing(backend, inFlight);
    assertEquals(ejectedUntilMs, backend.ejectedUntilMs);
    assertEquals(1, backend.ejections);
  }

  // The count of consecutive ejections is reset only after several successes.
  @Test
  void closesCircuitBreakerAfterSuccessAndResetsEjectionsOnceFailureShareIsLow() {
    fixture.recordFailures(backend, 3);
    fixture.advanceMs(1_301);
    outliers.recordSample(backend, false, 1);
    outliers.closeCircuitBreaker(backend);
    assertFalse(outliers.isUnavailableFor(backend, Idempotency.NOT_IDEMPOTENT));
    assertEquals(1, backend.ejections);
    backend.failureShare = 0.099;
    outliers.closeCircuitBreaker(backend);
    assertEquals(0, backend.ejections);
  }

  @Test
  void weightsPreviousFailureShareByObservationWeight() {
    backend.failureShare = 0.5;
    outliers.recordSample(backend, false, 0.5);
    assertEquals(0.5 * 0.5 * 0.8, backend.failureShare, 1e-12);
  }

  @ParameterizedTest
  @EnumSource(
      value = Status.class,
      names = {"ERROR", "RESET", "CONNECT_FAILED"})
  void countsErrorsAndConnectionFailuresAsFailures(Status status) {
    backend.lastResponseAtMs = fixture.context.nowMs() + 1;
    assertTrue(isFailure(fixture.startAttemptAt(backend), status, NEVER_STALLED));
  }

  @ParameterizedTest
  @EnumSource(
      value = Status.class,
      names = {"OK", "REJECTED", "WRITE_INCOMPLETE", "MALFORMED_RESPONSE", "NOT_SENT"})
  void countsNoOtherStatusAsFailure(Status status) {
    assertFalse(isFailure(fixture.startAttemptAt(backend), status, NEVER_STALLED));
  }

  // A lost response is no fault of a backend that responds to other attempts, and a timeout during
  // a stall of this gateway is no fault of any backend.
  @ParameterizedTest
  @EnumSource(
      value = Status.class,
      names = {"TIMED_OUT", "CANCELLED"})
  void countsTimeoutOnlyIfBackendHasNotRespondedAndGatewayHasNotStalled(Status status) {
    fixture.advanceMs(10);
    AttemptRecord attempt = fixture.startAttemptAt(backend);
    assertTrue(isFailure(attempt, status, NEVER_STALLED));
    assertFalse(isFailure(attempt, status, attempt.sentAtMs()));
    backend.lastResponseAtMs = attempt.sentAtMs() + 1;
    assertFalse(isFailure(attempt, status, NEVER_STALLED));
  }

  // An unreachable zone looks like many faulty backends, so all its backends are avoided together.
  @Test
  void avoidsAllBackendsOfUnreachableZone() {
    for (int i = 0; i < 3; i++) {
      backend.zoneReachability.record(
          fixture.context.nowMs(), false, true, fixture.context.nowMs());
    }
    assertTrue(outliers.isUnavailableFor(fixture.backend(2), Idempotency.IDEMPOTENT));
    assertFalse(outliers.isUnavailableFor(fixture.backend(1), Idempotency.IDEMPOTENT));
  }

  @Test
  void pausesBackendForTwoServiceTimesAfterRejection() {
    outliers.pauseAfterRejection(backend, 100);
    fixture.advanceMs(199);
    assertTrue(outliers.isPaused(backend));
    fixture.advanceMs(1);
    assertFalse(outliers.isPaused(backend));
  }

  @Test
  void forgetsEjectionTenSecondsAfterItsEnd() {
    backend.ejectedUntilMs = fixture.context.nowMs() - 10_000;
    assertFalse(outliers.hasNoRecentEjection(backend));
    fixture.advanceMs(1);
    assertTrue(outliers.hasNoRecentEjection(backend));
  }

  @Test
  void keepsEjectionCountUntilFailureShareIsLow() {
    backend.ejections = 2;
    backend.failureShare = 0.101;
    outliers.closeCircuitBreaker(backend);
    assertEquals(2, backend.ejections);
  }
}
