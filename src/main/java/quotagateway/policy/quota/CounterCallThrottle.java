package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.Status;

/**
 * Decides how many requests call the shared counter, by additive increase and multiplicative
 * decrease (AIMD) of the probability of a call, as in TCP. After several failures in a row the
 * counter is taken to be away, and only spaced probe calls remain.
 *
 * <p>Prevents a slow, full, silent or refusing counter from being overrun by calls; it would show
 * as calls that time out at all gateways. Cost: where calls fail for a cause that calling less does
 * not help, customers are held to the gateways' replicas for longer than needed.
 *
 * <p>One instance for each gateway, owned by the thread of its policy.
 */
final class CounterCallThrottle {

  /** Failures in a row after which the counter is taken to be away; fewer are lost packets. */
  static final int MAX_CONSECUTIVE_FAILURES = 4;

  /** Least spacing of one gateway's probe calls while the counter is away. */
  private static final double MIN_PROBE_SPACING_MS = 250;

  /** Least spacing of the probe calls of all gateways together. */
  private static final double MIN_FLEET_PROBE_SPACING_MS = 5;

  /** By which the call probability is multiplied once in a time limit of calls that fail. */
  private static final double DECREASE_FACTOR = 0.7;

  /** Increase of the call probability with each reply. */
  private static final double INCREASE_PER_REPLY = 0.02;

  /**
   * Increase for each second between replies: gateways with few calls recover as soon as others.
   */
  private static final double INCREASE_PER_SECOND = 0.05;

  /** Longest time between replies that counts for that increase. */
  private static final double MAX_INCREASE_SECONDS = 1;

  /** Least call probability, so that replies can raise it again. */
  private static final double MIN_CALL_PROBABILITY = 0.02;

  /**
   * Call probability once an absent counter replies again, so that all gateways together do not
   * overrun it.
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

  /** Whether the counter may be called now; draws a random number unless a probe is not yet due. */
  boolean acquireCall() {
    if (!isCounterAway()) {
      return context.nextRandom() < callProbability;
    }
    if (context.nowMs() < nextProbeAtMs) {
      return false;
    }
    scheduleProbe();
    return true;
  }

  /**
   * Takes in how a call ended. A connection that was reset shows nothing of the counter, nor does
   * any failure seen while this gateway itself stalled.
   *
   * @param status how it ended
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
    if (isCounterAway()) {
      callProbability = RECOVERY_CALL_PROBABILITY;
    } else {
      double seconds = Math.min(MAX_INCREASE_SECONDS, (context.nowMs() - lastReplyAtMs) / 1000);
      callProbability += INCREASE_PER_REPLY + INCREASE_PER_SECOND * seconds;
    }
    callProbability = Math.min(1, callProbability);
    consecutiveFailures = 0;
    lastReplyAtMs = context.nowMs();
  }

  /** Calls that were under way together fail together: they decrease the probability once. */
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

  private boolean isCounterAway() {
    return consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
  }

  /**
   * Spread by chance, so that the gateways do not probe together; over the whole fleet the probes
   * are bounded, and each gateway's come within seconds.
   */
  private void scheduleProbe() {
    double fleetSpacingMs = MIN_FLEET_PROBE_SPACING_MS * context.settings().gatewayCount();
    double spacingMs = Math.max(MIN_PROBE_SPACING_MS, fleetSpacingMs);
    nextProbeAtMs = context.nowMs() + spacingMs * (0.75 + 0.5 * context.nextRandom());
  }
}
