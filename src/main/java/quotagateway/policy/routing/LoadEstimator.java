package quotagateway.policy.routing;

import quotagateway.endpoint.EndpointIndex;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.context.ExponentialMean;
import quotagateway.policy.event.LoadReport;

/**
 * Estimates the time that a backend needs for one more request, from its responses, its load
 * reports and this gateway's outstanding attempts. Owned by the policy's thread.
 */
final class LoadEstimator {

  /** Service time assumed before any response: a typical one, so that no backend looks idle. */
  private static final double DEFAULT_SERVICE_MS = 100;

  /** Low, because service times vary widely between requests. */
  private static final double BACKEND_NEWEST_SAMPLE_WEIGHT = 0.1;

  /** Lower still: time limits depend on the mean over all backends, which must not follow one. */
  private static final double FLEET_NEWEST_SAMPLE_WEIGHT = 0.02;

  /**
   * Time after which a load report has a weight of 1/e. By then, most of the other gateways'
   * requests that the report counts have been answered.
   */
  private static final double REPORT_TIME_CONSTANT_MS = 700;

  /** Age of an attempt, in mean service times, above which the backend seems to be stuck. */
  private static final double OVERDUE_SERVICE_TIMES = 2.5;

  /** Additional cost of a backend that always fails, as a multiple of its normal cost. */
  private static final double FAILURE_COST_FACTOR = 4;

  /** Lowers the cost of a half-open backend, so that it soon gets its probe. */
  private static final double HALF_OPEN_COST_FACTOR = 0.5;

  private final DecisionContext context;
  private final EndpointIndex index;
  private final ExponentialMean attemptsInFlight;
  private double fleetServiceMs = DEFAULT_SERVICE_MS;

  /**
   * Creates an estimator without samples.
   *
   * @param context the time and settings
   * @param index the weights and the number of backends
   * @param attemptsInFlight mean number of attempts that this gateway has in flight at all backends
   */
  LoadEstimator(DecisionContext context, EndpointIndex index, ExponentialMean attemptsInFlight) {
    this.context = context;
    this.index = index;
    this.attemptsInFlight = attemptsInFlight;
  }

  /** Returns the mean service time over all backends, in milliseconds. */
  double fleetServiceMs() {
    return fleetServiceMs;
  }

  /**
   * Records a load report; does nothing if it is null or does not contain the requests in flight.
   */
  void recordReport(BackendStatus backend, LoadReport report) {
    if (report != null && !Double.isNaN(report.inFlight())) {
      backend.reportedInFlight = report.inFlight();
      backend.ownAttemptsWhenReported = backend.outstandingAttempts.size();
      backend.reportedAtMs = context.nowMs();
    }
  }

  /**
   * Records the service time of a successful attempt: the reported one, or the latency if none was
   * reported.
   *
   * @param report the load report, or null if there is none
   * @param latencyMs time from the last byte of the request to the response
   */
  void recordServiceTime(BackendStatus backend, LoadReport report, double latencyMs) {
    boolean reported = report != null && !Double.isNaN(report.serviceMs());
    double sampleMs = reported ? report.serviceMs() : latencyMs;
    double estimateMs = serviceMs(backend);
    backend.meanServiceMs = estimateMs + BACKEND_NEWEST_SAMPLE_WEIGHT * (sampleMs - estimateMs);
    fleetServiceMs += FLEET_NEWEST_SAMPLE_WEIGHT * (sampleMs - fleetServiceMs);
  }

  /**
   * Returns the estimated service time of a backend. The estimate approaches the mean over all
   * backends while the backend does not respond.
   */
  double serviceMs(BackendStatus backend) {
    if (Double.isNaN(backend.meanServiceMs)) {
      return fleetServiceMs;
    }
    return fleetServiceMs
        + backend.observationWeight(context.nowMs()) * (backend.meanServiceMs - fleetServiceMs);
  }

  /**
   * Returns the estimated number of requests that a backend has in flight from all gateways. The
   * estimate for other gateways comes from the backend's latest load report, and approaches the
   * expected number as the report ages.
   *
   * <p>Without this decay, a backend that once reported a high load would be avoided forever,
   * because it gets no requests and so never reports again. There is no known drawback.
   */
  double requestsInFlight(BackendStatus backend) {
    int otherGateways = context.settings().gatewayCount() - 1;
    double expectedOfOtherGateways =
        attemptsInFlight.value() / Math.max(1, index.serving().size()) * otherGateways;
    double ownAttempts = backend.outstandingAttempts.size();
    if (Double.isNaN(backend.reportedInFlight)) {
      return ownAttempts + expectedOfOtherGateways;
    }
    double reportWeight =
        Math.exp((backend.reportedAtMs - context.nowMs()) / REPORT_TIME_CONSTANT_MS);
    double reportedOfOtherGateways =
        Math.max(0, backend.reportedInFlight - backend.ownAttemptsWhenReported);
    return ownAttempts
        + expectedOfOtherGateways
        + reportWeight * (reportedOfOtherGateways - expectedOfOtherGateways);
  }

  /**
   * Returns the cost of sending a request to a backend, as an expected response time in
   * milliseconds: the service time of all requests in flight there and of the new one. The cost is
   * higher if the oldest attempt is overdue, if the backend is in another zone, or if it fails; it
   * is lower while the backend is half-open.
   *
   * @param latencyObjectiveMs the latency objective of the request; the cross-zone price is a share
   *     of it
   */
  double costMs(BackendStatus backend, double latencyObjectiveMs) {
    double nowMs = context.nowMs();
    double relativeWeight = index.weight(backend.slot) / index.meanWeight();
    double costMs = serviceMs(backend) * (1 + requestsInFlight(backend) / relativeWeight);
    if (!backend.outstandingAttempts.isEmpty()) {
      double oldestAgeMs = nowMs - backend.outstandingAttempts.iterator().next().sentAtMs();
      costMs += Math.max(0, oldestAgeMs - OVERDUE_SERVICE_TIMES * fleetServiceMs);
    }
    if (!backend.zone.equals(context.settings().zone())) {
      costMs += context.settings().crossZonePrice() * latencyObjectiveMs;
    }
    double failureFactor =
        1 + FAILURE_COST_FACTOR * backend.failureShare * backend.observationWeight(nowMs);
    return costMs * failureFactor * (backend.halfOpen ? HALF_OPEN_COST_FACTOR : 1);
  }
}
