package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.policy.event.EndpointsUpdated;

/** When a backend is assumed to have restarted, and when that is taken back. */
class RestartDetectorTest {

  private final RoutingFixture fixture = RoutingFixture.of(2, 4);
  private final RestartDetector restarts = fixture.restarts;
  private final BackendStatus backend = fixture.backend(0);

  private boolean isWarmingUp() {
    return backend.isWarmingUp(fixture.context.settings().rules(), fixture.context.nowMs());
  }

  // A backend that restarts refuses connections first, and the endpoint list says so only later:
  // what comes in between would fall on it cold.
  @Test
  void takesABackendThatRefusesAConnectionForRestarted() {
    restarts.recordConnectFailure(backend);
    assertTrue(isWarmingUp());
    assertEquals(RoutingFixture.START_MS, fixture.index.assumedStartMs(backend.slot));
  }

  // A few connections that fail for any other cause would leave a whole fleet taken for cold.
  @Test
  void endsTheSuspicionWhenAnEarlierAttemptSucceeds() {
    AttemptRecord earlier = fixture.attemptAt(backend);
    fixture.pass(10);
    restarts.recordConnectFailure(backend);
    restarts.recordSuccess(backend, earlier);
    assertFalse(isWarmingUp());
    assertEquals(0, fixture.index.assumedStartMs(backend.slot));
  }

  @Test
  void keepsTheSuspicionWhenALaterAttemptSucceeds() {
    restarts.recordConnectFailure(backend);
    restarts.recordSuccess(backend, fixture.attemptAt(backend));
    assertTrue(isWarmingUp());
  }

  @Test
  void suspectsNoBackendThatIsWarmingUpAnyway() {
    restarts.recordConnectFailure(backend);
    fixture.pass(100);
    restarts.recordConnectFailure(backend);
    assertEquals(RoutingFixture.START_MS, backend.assumedStartMs);
  }

  // An attempt may outlive the process that it was sent to: its outcome concerns that one alone.
  @Test
  void leavesAnEndpointAloneWhoseProcessWasReplaced() {
    double restartedMs = RoutingFixture.START_MS - 500;
    fixture.tracker.update(
        new EndpointsUpdated(
            EndpointListForm.DELTA, List.of(RoutingFixture.endpoint(0, restartedMs))));
    restarts.recordConnectFailure(backend);
    assertEquals(restartedMs, fixture.index.assumedStartMs(backend.slot));
  }

  @Test
  void beginsTheSuspicionWithAPartOfAToken() {
    backend.slowStartTokens = 5;
    fixture.pass(10);
    restarts.recordConnectFailure(backend);
    assertTrue(backend.slowStartTokens < 1);
    assertEquals(fixture.context.nowMs(), backend.slowStartRefilledAtMs);
  }

  @Test
  void endsASuspicionOnce() {
    AttemptRecord earlier = fixture.attemptAt(backend);
    fixture.pass(10);
    restarts.recordConnectFailure(backend);
    restarts.recordSuccess(backend, earlier);
    fixture.tracker.assumeStarted(backend, fixture.context.nowMs());
    restarts.recordSuccess(backend, earlier);
    assertTrue(isWarmingUp());
  }
}
