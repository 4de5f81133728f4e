package quotagateway.policy.admission;

import java.util.function.IntSupplier;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.context.ExponentialMean;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.Status;

/**
 * Sheds requests that the backends would not answer within their latency objective, the least
 * valuable requests first.
 *
 * <p>Decisions are based on the expected latency ratio: the recently measured ratio of latency to
 * the request's latency objective, scaled by the growth of the number of attempts in flight since
 * the measurement.
 *
 * <p>Without load shedding, queues at the backends would grow, whatever the cause of the overload,
 * until every response missed its objective. The drawback is that after a stall of this gateway the
 * measured ratio is wrong until the first responses have corrected it.
 *
 * <p>Each gateway has one instance, owned by the thread of its policy.
 */
public final class LoadShedder {

  /**
   * Expected latency ratio above which requests of the lowest priority are shed. The ratio is a
   * mean, and responses that are slower than the mean have to meet their objective, too.
   */
  static final double MAX_LATENCY_RATIO_LOWEST_PRIORITY = 0.25;

  /** Expected latency ratio above which requests of all priorities are shed. */
  static final double MAX_LATENCY_RATIO_HIGHEST_PRIORITY = 0.4;

  /**
   * Margin subtracted from both maximum ratios for a request whose quota the counter has not
   * confirmed, so that customers known to be within their quota are served first.
   */
  static final double UNCONFIRMED_LATENCY_RATIO_MARGIN = 0.1;

  /** Maximum of a measured latency ratio, so that a few slow attempts do not dominate the mean. */
  private static final double MAX_MEASURED_LATENCY_RATIO = 2;

  /**
   * Minimum weight of the newest response in the mean ratio, which then covers about the last
   * twenty responses.
   */
  private static final double MIN_NEWEST_RESPONSE_WEIGHT = 0.05;

  /** Lifetime of the measured ratio when responses are rare. */
  private static final double LATENCY_RATIO_LIFETIME_MS = 4_000;

  /** Minimum weight of the newest request in the mean number of attempts in flight. */
  private static final double MIN_NEWEST_IN_FLIGHT_WEIGHT = 0.3;

  /** Lifetime of the mean number of attempts in flight when requests are rare. */
  private static final double IN_FLIGHT_LIFETIME_MS = 1_000;

  /** Weight of the newest request in the mean priority weight. */
  private static final double NEWEST_PRIORITY_WEIGHT = 0.01;

  /** Number of requests, from all gateways, below which a backend is assumed not to queue any. */
  private static final double MIN_QUEUEING_REQUESTS = 3;

  /** Minimum mean priority weight used as a divisor, so that the quotient is finite. */
  private static final double MIN_MEAN_PRIORITY_WEIGHT = 1e-9;

  private final DecisionContext context;
  private final IntSupplier servingBackends;
  private final ExponentialMean latencyRatio;
  private final ExponentialMean inFlightWhenMeasured;
  private final ExponentialMean inFlight;
  private int attemptsInFlight;
  private double lastSuccessAtMs = Double.NEGATIVE_INFINITY;
  private double meanPriorityWeight = Double.NaN;

  /**
   * Creates a shedder that sheds nothing until a latency has been measured.
   *
   * @param context provides the time and the settings
   * @param servingBackends supplies the number of backends that are serving
   */
  public LoadShedder(DecisionContext context, IntSupplier servingBackends) {
    this.context = context;
    this.servingBackends = servingBackends;
    double nowMs = context.nowMs();
    latencyRatio =
        new ExponentialMean(MIN_NEWEST_RESPONSE_WEIGHT, LATENCY_RATIO_LIFETIME_MS, nowMs);
    inFlightWhenMeasured =
        new ExponentialMean(MIN_NEWEST_RESPONSE_WEIGHT, LATENCY_RATIO_LIFETIME_MS, nowMs);
    inFlight = new ExponentialMean(MIN_NEWEST_IN_FLIGHT_WEIGHT, IN_FLIGHT_LIFETIME_MS, nowMs);
  }

  /** Records a received request, before any decision on it. */
  public void recordRequest(double priorityWeight) {
    inFlight.add(attemptsInFlight, context.nowMs());
    if (Double.isNaN(meanPriorityWeight)) {
      meanPriorityWeight = priorityWeight;
    } else {
      meanPriorityWeight += NEWEST_PRIORITY_WEIGHT * (priorityWeight - meanPriorityWeight);
    }
  }

  /** Records that a backend has received an attempt's complete request and is processing it. */
  public void recordAttemptStart() {
    attemptsInFlight++;
  }

  /** Records that a backend has finished processing an attempt that was recorded as started. */
  public void recordAttemptEnd() {
    attemptsInFlight--;
  }

  /**
   * Returns the mean number of this gateway's attempts in flight over the latest requests. Callers
   * must not modify it.
   */
  public ExponentialMean attemptsInFlight() {
    return inFlight;
  }

  /**
   * Measures the latency of an attempt that has ended, as a ratio to the latency objective of its
   * request. A rejection by the backend counts as a ratio of 1.
   *
   * <p>If an attempt timed out although another one succeeded after it was sent, its response is
   * assumed to be lost, which is not a sign of load. The drawback is that a few slow backends
   * remain undetected here.
   *
   * @param event the end of the attempt
   * @param sentAtMs when the backend had received the complete request
   * @param latencyObjectiveMs latency objective of the request
   * @param stalledMs how long this gateway has stalled since then, which is not latency of the
   *     backends
   * @param meanServiceMs mean service time of all backends, used as the minimum latency
   */
  public void recordOutcome(
      AttemptEnded event,
      double sentAtMs,
      double latencyObjectiveMs,
      double stalledMs,
      double meanServiceMs) {
    Status status = event.status();
    boolean responseLost = status == Status.TIMED_OUT && lastSuccessAtMs > sentAtMs;
    if (status == Status.OK) {
      lastSuccessAtMs = context.nowMs();
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

  /** Returns whether the backends are too loaded for a request with the given priority weight. */
  public boolean isOverloaded(double priorityWeight) {
    return expectedLatencyRatio() > maxLatencyRatio(priorityWeight);
  }

  /**
   * Returns the same as {@link #isOverloaded}, but for a request whose quota the counter has not
   * confirmed.
   */
  public boolean isOverloadedForUnconfirmed(double priorityWeight) {
    return expectedLatencyRatio()
        > maxLatencyRatio(priorityWeight) - UNCONFIRMED_LATENCY_RATIO_MARGIN;
  }

  /**
   * Returns whether the backends can serve requests over quota without delaying requests within
   * quota.
   */
  public boolean hasSpareCapacity() {
    return expectedLatencyRatio()
        < MAX_LATENCY_RATIO_LOWEST_PRIORITY - UNCONFIRMED_LATENCY_RATIO_MARGIN;
  }

  /**
   * Returns the maximum latency ratio for a priority weight. The maximum rises linearly between
   * half and one and a half times the mean priority weight.
   */
  private double maxLatencyRatio(double priorityWeight) {
    double relativeWeight = priorityWeight / Math.max(MIN_MEAN_PRIORITY_WEIGHT, meanPriorityWeight);
    double relativePriority = Math.min(1, Math.max(0, relativeWeight - 0.5));
    return MAX_LATENCY_RATIO_LOWEST_PRIORITY
        + (MAX_LATENCY_RATIO_HIGHEST_PRIORITY - MAX_LATENCY_RATIO_LOWEST_PRIORITY)
            * relativePriority;
  }

  private double expectedLatencyRatio() {
    int backends = Math.max(1, servingBackends.getAsInt());
    double gatewaysPerBackend = context.settings().gatewayCount() / (double) backends;
    double smoothingRequests = MIN_QUEUEING_REQUESTS / backends;
    double requestsNow = inFlight.value() * gatewaysPerBackend;
    double requestsWhenMeasured =
        Math.max(inFlightWhenMeasured.value() * gatewaysPerBackend, MIN_QUEUEING_REQUESTS);
    double growth = (requestsNow + smoothingRequests) / (requestsWhenMeasured + smoothingRequests);
    return latencyRatio.decayedValue(context.nowMs()) * growth;
  }
}
