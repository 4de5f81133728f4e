package quotagateway.policy.admission;

import java.util.function.IntSupplier;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.context.ExponentialMean;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.Status;

/**
 * Sheds requests that the backends would not answer within their latency objective, the least
 * valuable ones first.
 *
 * <p>The measure is the expected latency ratio: latency divided by the latency objective of the
 * request, as measured lately, scaled by how many more attempts are in flight now than were then.
 *
 * <p>Prevents queues at the backends from growing until every response is late, whatever the cause
 * of the overload. It would show as responses that all miss their objective. Cost: after this
 * gateway has stalled, the first responses have to correct the measure.
 *
 * <p>One instance for each gateway, owned by the thread of its policy.
 */
public final class LoadShedder {

  /**
   * Expected latency ratio above which requests of the lowest priority are shed. It is a mean:
   * single responses take longer, and have to meet their objective, too.
   */
  static final double MAX_LATENCY_RATIO_LOWEST_PRIORITY = 0.25;

  /** Expected latency ratio above which requests of the highest priority are shed as well. */
  static final double MAX_LATENCY_RATIO_HIGHEST_PRIORITY = 0.4;

  /**
   * Subtracted from these for a request whose quota no reply of the counter has confirmed, so that
   * capacity goes first to customers known to be within their quota.
   */
  static final double UNCONFIRMED_LATENCY_RATIO_MARGIN = 0.1;

  /** A latency counts as at most so many objectives, so that few slow attempts do not decide. */
  private static final double MAX_MEASURED_LATENCY_RATIO = 2;

  /** Least weight of the newest response in the measure: about the last twenty count. */
  private static final double NEWEST_RESPONSE_WEIGHT = 0.05;

  /** Lifetime of the measure where responses are rare. */
  private static final double MEASURE_LIFETIME_MS = 4_000;

  /** Least weight of the newest request in the mean number of attempts in flight. */
  private static final double NEWEST_IN_FLIGHT_WEIGHT = 0.3;

  /** Lifetime of that mean where requests are rare. */
  private static final double IN_FLIGHT_LIFETIME_MS = 1_000;

  /** Weight of the newest request in the mean priority weight. */
  private static final double NEWEST_PRIORITY_WEIGHT = 0.01;

  /** A backend with fewer requests than this, of all gateways, is taken not to queue any. */
  private static final double MIN_QUEUEING_REQUESTS = 3;

  /** Least mean priority weight that others are compared with: keeps the quotient finite. */
  private static final double MIN_MEAN_PRIORITY_WEIGHT = 1e-9;

  private final DecisionContext context;
  private final IntSupplier servingBackends;
  private final ExponentialMean latencyRatio;
  private final ExponentialMean inFlightWhenMeasured;
  private final ExponentialMean inFlight;
  private int attemptsInFlight;
  private double lastOkAtMs = Double.NEGATIVE_INFINITY;
  private double meanPriorityWeight = Double.NaN;

  /**
   * A measure of nothing yet, which sheds nothing.
   *
   * @param context time and settings
   * @param servingBackends how many backends serve at present
   */
  public LoadShedder(DecisionContext context, IntSupplier servingBackends) {
    this.context = context;
    this.servingBackends = servingBackends;
    double nowMs = context.nowMs();
    latencyRatio = new ExponentialMean(NEWEST_RESPONSE_WEIGHT, MEASURE_LIFETIME_MS, nowMs);
    inFlightWhenMeasured = new ExponentialMean(NEWEST_RESPONSE_WEIGHT, MEASURE_LIFETIME_MS, nowMs);
    inFlight = new ExponentialMean(NEWEST_IN_FLIGHT_WEIGHT, IN_FLIGHT_LIFETIME_MS, nowMs);
  }

  /** Notes a request that has come, before any decision about it. */
  public void recordRequest(double priorityWeight) {
    inFlight.add(attemptsInFlight, context.nowMs());
    if (Double.isNaN(meanPriorityWeight)) {
      meanPriorityWeight = priorityWeight;
    } else {
      meanPriorityWeight += NEWEST_PRIORITY_WEIGHT * (priorityWeight - meanPriorityWeight);
    }
  }

  /** Notes that a backend has all of an attempt's request and works on it. */
  public void attemptStarted() {
    attemptsInFlight++;
  }

  /** Notes that a backend has done its work for an attempt noted as started. */
  public void attemptEnded() {
    attemptsInFlight--;
  }

  /** Attempts of this gateway in flight, as a mean over the latest requests; only to be read. */
  public ExponentialMean attemptsInFlight() {
    return inFlight;
  }

  /**
   * Measures the latency of an attempt that has ended, in objectives of its request. A rejection by
   * the backend counts as one whole objective.
   *
   * <p>An attempt that timed out although others were answered since it was sent has lost its
   * response on the way, which says nothing of load. Cost: a few slow backends remain unseen here.
   *
   * @param event how it ended
   * @param sentAtMs when the backend had all of its request
   * @param latencyObjectiveMs of its request
   * @param stalledMs for how long this gateway itself stalled since then, which is not latency of
   *     the backends
   * @param meanServiceMs mean service time of all backends, the least latency that counts
   */
  public void recordOutcome(
      AttemptEnded event,
      double sentAtMs,
      double latencyObjectiveMs,
      double stalledMs,
      double meanServiceMs) {
    Status status = event.status();
    boolean responseLost = status == Status.TIMED_OUT && lastOkAtMs > sentAtMs;
    if (status == Status.OK) {
      lastOkAtMs = context.nowMs();
    }
    boolean measurable =
        status == Status.OK || status == Status.REJECTED || status == Status.TIMED_OUT;
    if (!measurable || responseLost) {
      return;
    }
    double ratio = 1;
    if (status != Status.REJECTED) {
      ratio = Math.max(meanServiceMs, event.latencyMs() - stalledMs) / latencyObjectiveMs;
    }
    latencyRatio.add(Math.min(MAX_MEASURED_LATENCY_RATIO, ratio), context.nowMs());
    inFlightWhenMeasured.add(attemptsInFlight, context.nowMs());
  }

  /** Whether the backends are too loaded for a request of that priority weight. */
  public boolean isOverloaded(double priorityWeight) {
    return expectedLatencyRatio() > maxLatencyRatio(priorityWeight);
  }

  /** As {@link #isOverloaded}, for a request whose quota the counter has not confirmed. */
  public boolean isOverloadedForUnconfirmed(double priorityWeight) {
    return expectedLatencyRatio()
        > maxLatencyRatio(priorityWeight) - UNCONFIRMED_LATENCY_RATIO_MARGIN;
  }

  /** Whether the backends can serve requests over quota without delay to those within theirs. */
  public boolean hasSpareCapacity() {
    return expectedLatencyRatio()
        < MAX_LATENCY_RATIO_LOWEST_PRIORITY - UNCONFIRMED_LATENCY_RATIO_MARGIN;
  }

  /** Rises from half of the mean priority weight on to one and a half of it. */
  private double maxLatencyRatio(double priorityWeight) {
    double relativeWeight = priorityWeight / Math.max(MIN_MEAN_PRIORITY_WEIGHT, meanPriorityWeight);
    double rank = Math.min(1, Math.max(0, relativeWeight - 0.5));
    return MAX_LATENCY_RATIO_LOWEST_PRIORITY
        + (MAX_LATENCY_RATIO_HIGHEST_PRIORITY - MAX_LATENCY_RATIO_LOWEST_PRIORITY) * rank;
  }

  private double expectedLatencyRatio() {
    int backends = Math.max(1, servingBackends.getAsInt());
    double gatewaysPerBackend = context.settings().gatewayCount() / (double) backends;
    double idleShare = MIN_QUEUEING_REQUESTS / backends;
    double heldNow = inFlight.value() * gatewaysPerBackend;
    double heldWhenMeasured =
        Math.max(inFlightWhenMeasured.value() * gatewaysPerBackend, MIN_QUEUEING_REQUESTS);
    double growth = (heldNow + idleShare) / (heldWhenMeasured + idleShare);
    return latencyRatio.fadedValue(context.nowMs()) * growth;
  }
}
