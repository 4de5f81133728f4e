package quotagateway.policy.routing;

import quotagateway.endpoint.EndpointIndex;
import quotagateway.policy.context.DecisionContext;

/**
 * Limits the attempts at each backend that is warming up, retries included, with a token bucket.
 * The refill rate is the share of its capacity that the backend has reached, times the larger of
 * two rates: the attempts per second that a warm backend gets from this gateway, and this gateway's
 * part of the requests per second that one core can serve. The second rate is larger if, for
 * example, no backend is warm or this gateway is new. Owned by the policy's thread.
 *
 * <p>Without the limit, a backend that has just started, for any reason, would be overloaded and
 * fail again. A token that is not used within the overload window of the service rules expires, so
 * that the gateways cannot all spend saved tokens at once. The drawback is that traffic returns
 * more slowly to a fleet that has restarted.
 */
final class SlowStartLimiter {

  /** Time constant of the attempt rate; a few seconds, so that the rate follows the traffic. */
  private static final double ATTEMPT_RATE_TIME_CONSTANT_MS = 4_000;

  /** Counting warm backends more often would cost more than the accuracy that it gains. */
  private static final double WARM_COUNT_MAX_AGE_MS = 500;

  private final DecisionContext context;
  private final EndpointIndex index;
  private final LoadEstimator load;
  private double attemptsPerSecond;
  private double attemptRateUpdatedAtMs;
  private int warmBackends;
  private double warmCountedAtMs = Double.NEGATIVE_INFINITY;

  SlowStartLimiter(DecisionContext context, EndpointIndex index, LoadEstimator load) {
    this.context = context;
    this.index = index;
    this.load = load;
  }

  /** Returns whether a backend may get an attempt now: it is warm, or its bucket has a token. */
  boolean admits(BackendStatus backend) {
    return !backend.isWarmingUp(context.settings().rules(), context.nowMs()) || hasToken(backend);
  }

  private boolean hasToken(BackendStatus backend) {
    double nowMs = context.nowMs();
    double singleCoreRate =
        1000 / Math.max(1, load.fleetServiceMs()) / context.settings().gatewayCount();
    double tokensPerSecond =
        Math.max(attemptsPerSecondPerWarmBackend(), singleCoreRate)
            * backend.availableCapacityShare(context.settings().rules(), nowMs);
    double expiryLevel = 1 + tokensPerSecond * context.settings().rules().overloadWindowMs() / 1000;
    double elapsedMs = nowMs - backend.slowStartRefilledAtMs;
    backend.slowStartTokens =
        (backend.slowStartTokens + tokensPerSecond * elapsedMs / 1000) % expiryLevel;
    backend.slowStartRefilledAtMs = nowMs;
    return backend.slowStartTokens >= 1;
  }

  /**
   * Returns the attempts per second that this gateway sends to each warm backend; 0 if none is
   * warm.
   */
  private double attemptsPerSecondPerWarmBackend() {
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

  /** Records an attempt at a backend, and empties the bucket of a backend that is warming up. */
  void recordAttempt(BackendStatus backend) {
    if (backend.isWarmingUp(context.settings().rules(), context.nowMs())) {
      backend.slowStartTokens = 0;
    }
    attemptsPerSecond = attemptsPerSecond * rateDecay() + 1000 / ATTEMPT_RATE_TIME_CONSTANT_MS;
    attemptRateUpdatedAtMs = context.nowMs();
  }

  private double rateDecay() {
    return Math.exp((attemptRateUpdatedAtMs - context.nowMs()) / ATTEMPT_RATE_TIME_CONSTANT_MS);
  }

  /** Resets the bucket of a backend that has just started to a random fraction of a token. */
  void resetBucket(BackendStatus backend) {
    backend.slowStartRefilledAtMs = context.nowMs();
    backend.slowStartTokens = context.nextRandom();
  }

  /** Discards the count of warm backends after a change of the endpoint list or of a start time. */
  void invalidateWarmCount() {
    warmCountedAtMs = Double.NEGATIVE_INFINITY;
  }
}
