package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.policy.event.EndpointsUpdated;

/** Tests when a backend is suspected of a restart, and when the suspicion ends. */
class RestartDetectorTest {

  private final RoutingFixture fixture = RoutingFixture.of(2, 4);
  private final RestartDetector restarts = fixture.restarts;
  private final BackendStatus backend = fixture.backend(0);

  private boolean isWarmingUp() {
    return backend.isWarmingUp(fixture.context.settings().rules(), fixture.context.nowMs());
  }

  // A restarting backend refuses connections before the endpoint list reports the restart. Until
  // then, the cold backend would get its full share of requests.
  @Test
  void suspectsRestartAfterConnectFailure() {
    restarts.recordConnectFailure(backend);
    assertTrue(isWarmingUp());
    assertEquals(RoutingFixture.START_MS, fixture.index.assumedStartMs(backend.slot));
  }

  // A few connections that fail for other reasons would make the entire fleet look cold.
  @Test
  void endsSuspicionIfEarlierAttemptSucceeds() {
    AttemptRecord earlier = fixture.startAttemptAt(backend);
    fixture.advanceMs(10);
    restarts.recordConnectFailure(backend);
    restarts.recordSuccess(backend, earlier);
    assertFalse(isWarmingUp());
    assertEquals(0, fixture.index.assumedStartMs(backend.slot));
  }

  @Test
  void keepsSuspicionIfLaterAttemptSucceeds() {
    restarts.recordConnectFailure(backend);
    restarts.recordSuccess(backend, fixture.startAttemptAt(backend));
    assertTrue(isWarmingUp());
  }

  @Test
  void doesNotSuspectRestartOfWarmingUpBackend() {
    restarts.recordConnectFailure(backend);
    fixture.advanceMs(100);
    restarts.recordConnectFailure(backend);
    assertEquals(RoutingFixture.START_MS, backend.assumedStartMs);
  }

  // An attempt may end after its backend process was replaced, and must not affect the new process.
  @Test
  void doesNotChangeStartTimeOfReplacedProcess() {
    double restartedMs = RoutingFixture.START_MS - 500;
    fixture.tracker.update(
        new EndpointsUpdated(
            EndpointListForm.DELTA, List.of(RoutingFixture.endpoint(0, restartedMs))));
    restarts.recordConnectFailure(backend);
    assertEquals(restartedMs, fixture.index.assumedStartMs(backend.slot));
  }

  @Test
  void startsSuspicionWithFractionOfToken() {
    backend.slowStartTokens = 5;
    fixture.advanceMs(10);
    restarts.recordConnectFailure(backend);
    assertTrue(backend.slowStartTokens < 1);
    assertEquals(fixture.context.nowMs(), backend.slowStartRefilledAtMs);
  }

  @Test
  void endsSuspicionOnlyOnce() {
    AttemptRecord earlier = fixture.startAttemptAt(backend);
    fixture.advanceMs(10);
    restarts.recordConnectFailure(backend);
    restarts.recordSuccess(backend, earlier);
    fixture.tracker.assumeStarted(backend, fixture.context.nowMs());
    restarts.recordSuccess(backend, earlier);
    assertTrue(isWarmingUp());
  }
}
