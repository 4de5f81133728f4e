package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The rules of {@code PolicyFixture}: warm after 10 s, a fifth at the start, load over 2 s. */
class SlowStartLimiterTest {

  private final RoutingFixture fixture = RoutingFixture.of(2, 4);
  private final SlowStartLimiter slowStart = fixture.slowStart;

  private BackendStatus startedNow(long id) {
    BackendStatus backend = fixture.backend(id);
    fixture.tracker.assumeStarted(backend, fixture.context.nowMs());
    slowStart.restart(backend);
    slowStart.warmCountChanged();
    backend.slowStartTokens = 0;
    return backend;
  }

  @Test
  void admitsEverythingToAWarmBackend() {
    BackendStatus warm = fixture.backend(0);
    for (int i = 0; i < 100; i++) {
      assertTrue(slowStart.admits(warm));
      slowStart.recordAttempt(warm);
    }
  }

  // A backend that has just started and gets its whole part at once fails again.
  @Test
  void admitsOneAttemptForEachTokenToABackendThatWarmsUp() {
    BackendStatus backend = startedNow(0);
    assertFalse(slowStart.admits(backend));
    // Of one core with 100 ms a request, half for each gateway: 5 a second, a fifth of that now.
    fixture.pass(950);
    assertTrue(slowStart.admits(backend));
    assertTrue(slowStart.admits(backend), "asking takes no token");
    slowStart.recordAttempt(backend);
    assertFalse(slowStart.admits(backend));
  }

  // What every gateway has saved up in a quiet time would come all at once.
  @Test
  void letsTokensLapseThatWereNotUsedInTime() {
    BackendStatus backend = startedNow(0);
    for (int i = 0; i < 400; i++) {
      fixture.pass(20);
      boolean admitted = slowStart.admits(backend);
      assertEquals(admitted, backend.slowStartTokens >= 1);
      double tokensPerSecond = 5 * (0.2 + 0.8 * (i + 1) * 20 / 10_000);
      assertTrue(backend.slowStartTokens < 1 + 2 * tokensPerSecond);
    }
  }

  // Alone among warm ones, a backend that starts may get its part of the traffic, not of one core.
  @Test
  void fillsByTheTrafficOfWarmBackends() {
    BackendStatus backend = startedNow(0);
    for (int i = 0; i < 400; i++) {
      slowStart.recordAttempt(fixture.backend(1));
    }
    // 400 attempts at once count 100 a second over 4 s, split among the three that are warm.
    fixture.pass(100);
    slowStart.admits(backend);
    double perWarmBackend = 100 * Math.exp(-100 / 4_000.0) / 3;
    double share = 0.2 + 0.8 * 100 / 10_000;
    assertEquals(perWarmBackend * share * 0.1, backend.slowStartTokens, 1e-9);
  }

  @Test
  void beginsARestartWithAPartOfAToken() {
    BackendStatus backend = fixture.backend(0);
    backend.slowStartTokens = 3;
    slowStart.restart(backend);
    assertTrue(backend.slowStartTokens >= 0 && backend.slowStartTokens < 1);
  }

  @Test
  void countsTheWarmBackendsAnewAfterHalfASecond() {
    BackendStatus backend = startedNow(0);
    for (int i = 0; i < 400; i++) {
      slowStart.recordAttempt(fixture.backend(1));
    }
    slowStart.admits(backend);
    // The other three start again, which only the index knows.
    for (long id = 1; id < 4; id++) {
      fixture.tracker.assumeStarted(fixture.backend(id), fixture.context.nowMs());
    }
    fixture.pass(500);
    slowStart.admits(backend);
    double byTraffic = backend.slowStartTokens;
    fixture.pass(1);
    backend.slowStartTokens = 0;
    backend.slowStartRefilledAtMs = fixture.context.nowMs() - 500;
    slowStart.admits(backend);
    assertTrue(backend.slowStartTokens < byTraffic / 3, "without warm ones, that of one core");
  }

  @Test
  void endsWithTheWarmUp() {
    BackendStatus backend = startedNow(0);
    assertTrue(backend.isWarmingUp(fixture.context.settings().rules(), RoutingFixture.START_MS));
    fixture.pass(9_999);
    assertTrue(backend.isWarmingUp(fixture.context.settings().rules(), fixture.context.nowMs()));
    fixture.pass(1);
    assertFalse(backend.isWarmingUp(fixture.context.settings().rules(), fixture.context.nowMs()));
  }

  // A start time of 0 stands for long ago, also where the clock itself has begun at 0.
  @Test
  void takesABackendOfUnknownStartForWarm() {
    BackendStatus backend = fixture.backend(0);
    assertFalse(backend.isWarmingUp(fixture.context.settings().rules(), 5_000));
  }
}
