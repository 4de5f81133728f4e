package quotagateway.policy.routing;

import quotagateway.endpoint.EndpointIndex;
import quotagateway.policy.context.DecisionContext;

/**
 * Limits the attempts, retries included, that go to a backend that is warming up, with a token
 * bucket for each. It fills at the backend's present share of its capacity, times what a warm
 * backend gets from this gateway; or times this gateway's part of what one core can serve, where
 * that is more, as no backend is warm or this gateway is new. Owned by the policy's thread.
 *
 * <p>Prevents the overload of a backend that has just started, for whatever cause, which makes it
 * fail again. A token that is not used within the span over which a warming backend's load counts
 * lapses, so that what all gateways have saved up cannot come at once. Cost: a fleet that comes
 * back is used more slowly.
 */
final class SlowStartLimiter {

  /** The rate of attempts is that of the last few seconds, as traffic changes. */
  private static final double SEND_RATE_MEMORY_MS = 4_000;

  /** Counting the warm backends again more often than this would cost more than it corrects. */
  private static final double WARM_COUNT_MAX_AGE_MS = 500;

  private final DecisionContext context;
  private final EndpointIndex index;
  private final LoadEstimator load;
  private double attemptsPerSecond;
  private double attemptsAtMs;
  private int warmBackends;
  private double warmCountedAtMs = Double.NEGATIVE_INFINITY;

  SlowStartLimiter(DecisionContext context, EndpointIndex index, LoadEstimator load) {
    this.context = context;
    this.index = index;
    this.load = load;
  }

  /** Whether a backend may get an attempt now: it is warm, or its bucket has a token. */
  boolean admits(BackendStatus backend) {
    return !backend.isWarmingUp(context.settings().rules(), context.nowMs()) || hasToken(backend);
  }

  private boolean hasToken(BackendStatus backend) {
    double nowMs = context.nowMs();
    double ofOneCore =
        1000 / Math.max(1, load.fleetServiceMs()) / context.settings().gatewayCount();
    double tokensPerSecond =
        Math.max(attemptsPerWarmBackend(), ofOneCore)
            * backend.warmedUpShare(context.settings().rules(), nowMs);
    double lapseAt = 1 + tokensPerSecond * context.settings().rules().overloadWindowMs() / 1000;
    double elapsedMs = nowMs - backend.slowStartRefilledAtMs;
    backend.slowStartTokens =
        (backend.slowStartTokens + tokensPerSecond * elapsedMs / 1000) % lapseAt;
    backend.slowStartRefilledAtMs = nowMs;
    return backend.slowStartTokens >= 1;
  }

  /** Attempts a second that this gateway sends to each warm backend; 0 where none is warm. */
  private double attemptsPerWarmBackend() {
    double nowMs = context.nowMs();
    if (nowMs - warmCountedAtMs > WARM_COUNT_MAX_AGE_MS) {
      warmBackends = index.countWarm(context.settings().rules().warmUpMs(), nowMs);
      warmCountedAtMs = nowMs;
    }
    if (warmBackends == 0) {
      return 0;
    }
    return attemptsPerSecond * rateDecay() / warmBackends;
  }

  /** Notes that an attempt goes to a backend, which empties its bucket while it warms up. */
  void recordAttempt(BackendStatus backend) {
    if (backend.isWarmingUp(context.settings().rules(), context.nowMs())) {
      backend.slowStartTokens = 0;
    }
    attemptsPerSecond = attemptsPerSecond * rateDecay() + 1000 / SEND_RATE_MEMORY_MS;
    attemptsAtMs = context.nowMs();
  }

  private double rateDecay() {
    return Math.exp((attemptsAtMs - context.nowMs()) / SEND_RATE_MEMORY_MS);
  }

  /** Lets the bucket of a backend that has just started begin with a part of a token. */
  void restart(BackendStatus backend) {
    backend.slowStartRefilledAtMs = context.nowMs();
    backend.slowStartTokens = context.nextRandom();
  }

  /** Has the warm backends counted anew, as the endpoint list or a start time has changed. */
  void warmCountChanged() {
    warmCountedAtMs = Double.NEGATIVE_INFINITY;
  }
}
