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

/** When a backend is ejected, for how long, and how it comes back. */
class OutlierDetectorTest {

  private static final double NEVER_STALLED = Double.NEGATIVE_INFINITY;

  private final RoutingFixture fixture = RoutingFixture.of(2, 4);
  private final OutlierDetector outliers = fixture.outliers;
  private final BackendStatus backend = fixture.backend(0);

  private boolean isEjected() {
    return outliers.isClosedTo(backend, Idempotency.IDEMPOTENT);
  }

  private boolean isFailure(AttemptRecord attempt, Status status, double stalledUntilMs) {
    return outliers.isFailure(backend, attempt, status, stalledUntilMs);
  }

  // A backend that answers every request with an error takes a share of the traffic until it is
  // ejected; a single error among responses is no reason to lose its capacity.
  @Test
  void ejectsAfterThreeFailuresInARow() {
    fixture.fail(backend, 2);
    assertFalse(isEjected());
    fixture.fail(backend, 1);
    assertTrue(isEjected());
  }

  // A backend that stays faulty is probed ever more rarely, but after eight seconds or so again, so
  // that one that was repaired is not out for long.
  @ParameterizedTest
  @CsvSource({"0, 1000", "1, 2000", "2, 4000", "3, 8000", "4, 8000", "9, 8000"})
  void doublesTheEjectionUpToEightSeconds(int ejectionsBefore, double ejectionMs) {
    backend.ejections = ejectionsBefore;
    fixture.fail(backend, 3);
    double ejectedMs = backend.ejectedUntilMs - RoutingFixture.START_MS;
    assertTrue(ejectedMs >= ejectionMs && ejectedMs <= 1.3 * ejectionMs, ejectedMs + " ms");
    assertEquals(ejectionsBefore + 1, backend.ejections);
  }

  // Half open: a request that may run twice probes the backend, alone, and nothing else gets there.
  @Test
  void letsOneIdempotentRequestProbeAfterTheEjection() {
    fixture.fail(backend, 3);
    fixture.pass(1_301);
    assertFalse(isEjected());
    assertTrue(outliers.isClosedTo(backend, Idempotency.NOT_IDEMPOTENT));
    fixture.attemptAt(backend);
    assertTrue(isEjected());
  }

  @Test
  void ejectsAgainWhenTheProbeFails() {
    fixture.fail(backend, 3);
    fixture.pass(60_000);
    backend.failureShare = 0;
    fixture.fail(backend, 1);
    assertTrue(isEjected());
    assertEquals(2, backend.ejections);
  }

  // A backend that falls with many attempts in flight was taken for one that fails again with each
  // of them, and was out for up to eight seconds after a fault of an instant.
  @Test
  void countsAttemptsFromBeforeTheEjectionAsOneFault() {
    AttemptRecord inFlight = fixture.attemptAt(backend);
    fixture.pass(100);
    fixture.fail(backend, 3);
    double ejectedUntilMs = backend.ejectedUntilMs;
    fixture.pass(50);
    outliers.recordSample(backend, true, 1);
    outliers.ejectIfFailing(backend, inFlight);
    assertEquals(ejectedUntilMs, backend.ejectedUntilMs);
    assertEquals(1, backend.ejections);
  }

  // The ejections in a row are over only once the backend has answered for a while.
  @Test
  void closesAfterASuccessAndForgetsEjectionsOnceTheShareIsLow() {
    fixture.fail(backend, 3);
    fixture.pass(1_301);
    outliers.recordSample(backend, false, 1);
    outliers.close(backend);
    assertFalse(outliers.isClosedTo(backend, Idempotency.NOT_IDEMPOTENT));
    assertEquals(1, backend.ejections);
    backend.failureShare = 0.099;
    outliers.close(backend);
    assertEquals(0, backend.ejections);
  }

  @Test
  void weighsWhatWasLearnedByItsAge() {
    backend.failureShare = 0.5;
    outliers.recordSample(backend, false, 0.5);
    assertEquals(0.5 * 0.5 * 0.8, backend.failureShare, 1e-12);
  }

  @ParameterizedTest
  @EnumSource(
      value = Status.class,
      names = {"ERROR", "RESET", "CONNECT_FAILED"})
  void countsErrorsAndBrokenConnectionsAsFailures(Status status) {
    backend.lastResponseAtMs = fixture.context.nowMs() + 1;
    assertTrue(isFailure(fixture.attemptAt(backend), status, NEVER_STALLED));
  }

  @ParameterizedTest
  @EnumSource(
      value = Status.class,
      names = {"OK", "REJECTED", "WRITE_INCOMPLETE", "MALFORMED_RESPONSE", "NOT_SENT"})
  void countsNothingElseAsAFailure(Status status) {
    assertFalse(isFailure(fixture.attemptAt(backend), status, NEVER_STALLED));
  }

  // A response that was lost on its way is no fault of a backend that answers others, and what this
  // gateway missed while it stood still is no fault of any.
  @ParameterizedTest
  @EnumSource(
      value = Status.class,
      names = {"TIMED_OUT", "CANCELLED"})
  void countsATimeoutOnlyOfABackendThatAnsweredNothing(Status status) {
    fixture.pass(10);
    AttemptRecord attempt = fixture.attemptAt(backend);
    assertTrue(isFailure(attempt, status, NEVER_STALLED));
    assertFalse(isFailure(attempt, status, attempt.sentAtMs()));
    backend.lastResponseAtMs = attempt.sentAtMs() + 1;
    assertFalse(isFailure(attempt, status, NEVER_STALLED));
  }

  // A zone that is cut off looks like many faulty backends: it is left as a whole.
  @Test
  void ejectsTheBackendsOfAZoneThatCannotBeReached() {
    for (int i = 0; i < 3; i++) {
      backend.zoneReachability.record(
          fixture.context.nowMs(), false, true, fixture.context.nowMs());
    }
    assertTrue(outliers.isClosedTo(fixture.backend(2), Idempotency.IDEMPOTENT));
    assertFalse(outliers.isClosedTo(fixture.backend(1), Idempotency.IDEMPOTENT));
  }

  @Test
  void pausesForTwoServiceTimesAfterARejection() {
    outliers.pauseAfterRejection(backend, 100);
    fixture.pass(199);
    assertTrue(outliers.isPaused(backend));
    fixture.pass(1);
    assertFalse(outliers.isPaused(backend));
  }

  @Test
  void forgetsAnEjectionTenSecondsAfterItsEnd() {
    backend.ejectedUntilMs = fixture.context.nowMs() - 10_000;
    assertFalse(outliers.isForgotten(backend));
    fixture.pass(1);
    assertTrue(outliers.isForgotten(backend));
  }

  @Test
  void keepsCountingEjectionsUntilTheShareIsLow() {
    backend.ejections = 2;
    backend.failureShare = 0.101;
    outliers.close(backend);
    assertEquals(2, backend.ejections);
  }
}
