package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.Status;

/**
 * Limits the share of requests that call the shared counter, by additive increase and
 * multiplicative decrease (AIMD) of the call probability, as in TCP. After several consecutive
 * failures the counter is treated as unavailable, and only spaced probe calls are made.
 *
 * <p>Without this, calls would overload a slow, full, silent or refusing counter, and calls would
 * time out at all gateways. The drawback is that if calls fail for a cause other than load,
 * requests are decided by the gateways' replicas for longer than necessary.
 *
 * <p>Each gateway has one instance, owned by the thread of its policy.
 */
final class CounterCallThrottle {

  /**
   * Number of consecutive failures after which the counter is treated as unavailable. Fewer
   * failures are assumed to be lost packets.
   */
  static final int MAX_CONSECUTIVE_FAILURES = 4;

  /** Minimum mean interval between one gateway's probe calls while the counter is unavailable. */
  private static final double MIN_PROBE_SPACING_MS = 250;

  /** Minimum mean interval between the probe calls of all gateways together. */
  private static final double MIN_FLEET_PROBE_SPACING_MS = 5;

  /** Factor applied to the call probability at most once per call timeout while calls fail. */
  private static final double DECREASE_FACTOR = 0.7;

  /** Increase of the call probability per reply. */
  private static final double INCREASE_PER_REPLY = 0.02;

  /**
   * Increase of the call probability per second between replies, so that gateways with few calls
   * recover as fast as others.
   */
  private static final double INCREASE_PER_SECOND = 0.05;

  /** Maximum time between replies that counts for {@link #INCREASE_PER_SECOND}. */
  private static final double MAX_INCREASE_SECONDS = 1;

  /** Minimum call probability. It is above 0 so that replies can raise it again. */
  private static final double MIN_CALL_PROBABILITY = 0.02;

  /**
   * Call probability after the first reply of a counter that was unavailable. It is below 1 so that
   * all gateways together do not overload the counter.
   */
  private static final double RECOVERY_CALL_PROBABILITY = 0.3;

  private final DecisionContext context;
  private double callProbability = 1;
  private double decreasedAtMs = Double.NEGATIVE_INFINITY;
  private double nextProbeAtMs = Double.NEGATIVE_INFINITY;
  private double lastReplyAtMs;
  private int consecutiveFailures;

  CounterCallThrottle(DecisionContext context) {
    this.context = context;
  }

  /**
   * Returns whether the counter may be called now. Draws a random number unless the counter is
   * unavailable and no probe is due.
   */
  boolean tryAcquireCall() {
    if (!isCounterUnavailable()) {
      return context.nextRandom() < callProbability;
    }
    if (context.nowMs() < nextProbeAtMs) {
      return false;
    }
    scheduleProbe();
    return true;
  }

  /**
   * Records the outcome of a call. A connection reset does not show the state of the counter, nor
   * does a failure during a stall of this gateway, so neither counts.
   *
   * @param status how the call ended
   * @param gatewayStalled whether this gateway has just stalled
   */
  void recordOutcome(Status status, boolean gatewayStalled) {
    if (status == Status.OK) {
      recordReply();
    } else if (!gatewayStalled && status != Status.RESET) {
      recordFailure();
    }
  }

  private void recordReply() {
    if (isCounterUnavailable()) {
      callProbability = RECOVERY_CALL_PROBABILITY;
    } else {
      double seconds = Math.min(MAX_INCREASE_SECONDS, (context.nowMs() - lastReplyAtMs) / 1000);
      callProbability += INCREASE_PER_REPLY + INCREASE_PER_SECOND * seconds;
    }
    callProbability = Math.min(1, callProbability);
    consecutiveFailures = 0;
    lastReplyAtMs = context.nowMs();
  }

  /**
   * Records a failure. Concurrent calls fail together, so they decrease the probability only once.
   */
  private void recordFailure() {
    consecutiveFailures++;
    double timeoutMs = context.settings().capabilities().counterTimeoutMs();
    if (context.nowMs() - decreasedAtMs > timeoutMs) {
      callProbability = Math.max(MIN_CALL_PROBABILITY, callProbability * DECREASE_FACTOR);
      decreasedAtMs = context.nowMs();
    }
    if (consecutiveFailures == MAX_CONSECUTIVE_FAILURES) {
      scheduleProbe();
    }
  }

  private boolean isCounterUnavailable() {
    return consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
  }

  /**
   * Schedules the next probe with random jitter, so that the gateways do not probe at the same
   * time. The spacing grows with the number of gateways, which limits the probe rate of the fleet:
   * each of 1,000 gateways probes about every 5 s.
   */
  private void scheduleProbe() {
    double fleetSpacingMs = MIN_FLEET_PROBE_SPACING_MS * context.settings().gatewayCount();
    double spacingMs = Math.max(MIN_PROBE_SPACING_MS, fleetSpacingMs);
    nextProbeAtMs = context.nowMs() + spacingMs * (0.75 + 0.5 * context.nextRandom());
  }
}
