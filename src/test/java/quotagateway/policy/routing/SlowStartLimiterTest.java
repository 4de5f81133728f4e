package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the limit of attempts during warm-up. The service rules of {@code PolicyFixture} are a
 * warm-up of 10 s, an initial capacity share of one fifth, and an overload window of 2 s.
 */
class SlowStartLimiterTest {

  private final RoutingFixture fixture = RoutingFixture.of(2, 4);
  private final SlowStartLimiter slowStart = fixture.slowStart;

  private BackendStatus restartWithoutTokens(long id) {
    BackendStatus backend = fixture.backend(id);
    fixture.tracker.assumeStarted(backend, fixture.context.nowMs());
    slowStart.resetBucket(backend);
    slowStart.invalidateWarmCount();
    backend.slowStartTokens = 0;
    return backend;
  }

  @Test
  void admitsAllAttemptsAtWarmBackend() {
    BackendStatus warm = fixture.backend(0);
    for (int i = 0; i < 100; i++) {
      assertTrue(slowStart.admits(warm));
      slowStart.recordAttempt(warm);
    }
  }

  // A backend that gets its full share of the traffic right after its start fails again.
  @Test
  void admitsOneAttemptPerTokenAtWarmingUpBackend() {
    BackendStatus backend = restartWithoutTokens(0);
    assertFalse(slowStart.admits(backend));
    // One core serves 10 requests of 100 ms per second: 5 for each gateway, of which one fifth now.
    fixture.advanceMs(950);
    assertTrue(slowStart.admits(backend));
    assertTrue(slowStart.admits(backend), "admits() takes no token");
    slowStart.recordAttempt(backend);
    assertFalse(slowStart.admits(backend));
  }

  // Otherwise all gateways could spend the tokens that they saved in a quiet time at once.
  @Test
  void expiresUnusedTokens() {
    BackendStatus backend = restartWithoutTokens(0);
    for (int i = 0; i < 400; i++) {
      fixture.advanceMs(20);
      boolean admitted = slowStart.admits(backend);
      assertEquals(admitted, backend.slowStartTokens >= 1);
      double tokensPerSecond = 5 * (0.2 + 0.8 * (i + 1) * 20 / 10_000);
      assertTrue(backend.slowStartTokens < 1 + 2 * tokensPerSecond);
    }
  }

  // The only starting backend among warm ones gets a share of the traffic, not of what one core
  // serves.
  @Test
  void refillsInProportionToTrafficOfWarmBackends() {
    BackendStatus backend = restartWithoutTokens(0);
    for (int i = 0; i < 400; i++) {
      slowStart.recordAttempt(fixture.backend(1));
    }
    // 400 attempts at once count as 100 per second over 4 s, split among the three warm backends.
    fixture.advanceMs(100);
    slowStart.admits(backend);
    double perWarmBackend = 100 * Math.exp(-100 / 4_000.0) / 3;
    double share = 0.2 + 0.8 * 100 / 10_000;
    assertEquals(perWarmBackend * share * 0.1, backend.slowStartTokens, 1e-9);
  }

  @Test
  void resetsBucketToFractionOfToken() {
    BackendStatus backend = fixture.backend(0);
    backend.slowStartTokens = 3;
    slowStart.resetBucket(backend);
    assertTrue(backend.slowStartTokens >= 0 && backend.slowStartTokens < 1);
  }

  @Test
  void recountsWarmBackendsAfterHalfASecond() {
    BackendStatus backend = restartWithoutTokens(0);
    for (int i = 0; i < 400; i++) {
      slowStart.recordAttempt(fixture.backend(1));
    }
    slowStart.admits(backend);
    // The other three restart; only the index has the new start times.
    for (long id = 1; id < 4; id++) {
      fixture.tracker.assumeStarted(fixture.backend(id), fixture.context.nowMs());
    }
    fixture.advanceMs(500);
    slowStart.admits(backend);
    double tokensByTraffic = backend.slowStartTokens;
    fixture.advanceMs(1);
    backend.slowStartTokens = 0;
    backend.slowStartRefilledAtMs = fixture.context.nowMs() - 500;
    slowStart.admits(backend);
    assertTrue(
        backend.slowStartTokens < tokensByTraffic / 3,
        "the rate of one core applies if no backend is warm");
  }

  @Test
  void endsWarmUpAfterTenSeconds() {
    BackendStatus backend = restartWithoutTokens(0);
    assertTrue(backend.isWarmingUp(fixture.context.settings().rules(), RoutingFixture.START_MS));
    fixture.advanceMs(9_999);
    assertTrue(backend.isWarmingUp(fixture.context.settings().rules(), fixture.context.nowMs()));
    fixture.advanceMs(1);
    assertFalse(backend.isWarmingUp(fixture.context.settings().rules(), fixture.context.nowMs()));
  }

  // A start time of 0 means long ago, even if the clock itself starts at 0.
  @Test
  void treatsBackendWithoutStartTimeAsWarm() {
    BackendStatus backend = fixture.backend(0);
    assertFalse(backend.isWarmingUp(fixture.context.settings().rules(), 5_000));
  }
}
