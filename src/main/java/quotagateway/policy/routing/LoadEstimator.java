package quotagateway.policy.routing;

import quotagateway.endpoint.EndpointIndex;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.context.ExponentialMean;
import quotagateway.policy.event.LoadReport;

/**
 * Estimates how long a backend will need for one more request: from its own responses, its load
 * reports, and the attempts that this gateway has there. Owned by the policy's thread.
 */
final class LoadEstimator {

  /** Assumed service time before any response: a usual one, so that no backend looks idle. */
  private static final double DEFAULT_SERVICE_MS = 100;

  /** Service times differ much from request to request, so a single one says little. */
  private static final double BACKEND_NEWEST_WEIGHT = 0.1;

  /** The mean of all backends takes part in time limits, and must not follow one of them. */
  private static final double FLEET_NEWEST_WEIGHT = 0.02;

  /**
   * A load report counts 1/e after this time: by then, most of the requests of other gateways that
   * it counted are answered.
   */
  private static final double REPORT_MEMORY_MS = 700;

  /** An attempt that is older than so many mean service times shows a backend that is stuck. */
  private static final double OVERDUE_SERVICE_TIMES = 2.5;

  /** A backend that always fails looks this much slower, plus one, than one that never does. */
  private static final double FAILURE_PENALTY = 4;

  /** A half-open backend looks faster than it is, so that its probe is sent soon. */
  private static final double HALF_OPEN_FACTOR = 0.5;

  private final DecisionContext context;
  private final EndpointIndex index;
  private final ExponentialMean attemptsInFlight;
  private double fleetServiceMs = DEFAULT_SERVICE_MS;

  /**
   * An estimator before any response.
   *
   * @param context time and settings
   * @param index sizes and number of the backends
   * @param attemptsInFlight mean number of attempts that this gateway has at all backends
   */
  LoadEstimator(DecisionContext context, EndpointIndex index, ExponentialMean attemptsInFlight) {
    this.context = context;
    this.index = index;
    this.attemptsInFlight = attemptsInFlight;
  }

  /** Mean service time over all backends, in milliseconds. */
  double fleetServiceMs() {
    return fleetServiceMs;
  }

  /** Takes a load report, where one came that gives the requests in flight. */
  void recordReport(BackendStatus backend, LoadReport report) {
    if (report != null && !Double.isNaN(report.inFlight())) {
      backend.reportedInFlight = report.inFlight();
      backend.ownWhenReported = backend.outstanding.size();
      backend.reportedAtMs = context.nowMs();
    }
  }

  /**
   * Takes the service time of a successful attempt: as reported, or else its latency.
   *
   * @param report null where none came
   * @param latencyMs from the request's last byte to the response
   */
  void recordServiceTime(BackendStatus backend, LoadReport report, double latencyMs) {
    boolean reported = report != null && !Double.isNaN(report.serviceMs());
    double sampleMs = reported ? report.serviceMs() : latencyMs;
    double knownMs = serviceMs(backend);
    backend.meanServiceMs = knownMs + BACKEND_NEWEST_WEIGHT * (sampleMs - knownMs);
    fleetServiceMs += FLEET_NEWEST_WEIGHT * (sampleMs - fleetServiceMs);
  }

  /** A backend's service time, nearer to that of all backends the longer it has not answered. */
  double serviceMs(BackendStatus backend) {
    if (Double.isNaN(backend.meanServiceMs)) {
      return fleetServiceMs;
    }
    return fleetServiceMs
        + backend.learnedWeight(context.nowMs()) * (backend.meanServiceMs - fleetServiceMs);
  }

  /**
   * Requests that a backend has from all gateways. Those of other gateways are taken from its last
   * report, and more and more from the mean as the report ages.
   *
   * <p>Prevents avoiding a backend for ever that once reported a high load and, as nothing is sent
   * there, never reports again. Cost: none known.
   */
  double requestsInFlight(BackendStatus backend) {
    int otherGateways = context.settings().gatewayCount() - 1;
    double usualOfOthers =
        attemptsInFlight.value() / Math.max(1, index.serving().size()) * otherGateways;
    double own = backend.outstanding.size();
    if (Double.isNaN(backend.reportedInFlight)) {
      return own + usualOfOthers;
    }
    double reportWeight = Math.exp((backend.reportedAtMs - context.nowMs()) / REPORT_MEMORY_MS);
    double reportedOfOthers = Math.max(0, backend.reportedInFlight - backend.ownWhenReported);
    return own + usualOfOthers + reportWeight * (reportedOfOthers - usualOfOthers);
  }

  /**
   * What it costs to send a request to a backend, as an expected time to its response in
   * milliseconds: its service time for all requests that it has, and more where its oldest attempt
   * is overdue, where it is in another zone, and where it fails.
   *
   * @param latencyObjectiveMs of the request; the price of another zone is a share of it
   */
  double costMs(BackendStatus backend, double latencyObjectiveMs) {
    double nowMs = context.nowMs();
    double relativeSize = index.weight(backend.slot) / index.meanWeight();
    double costMs = serviceMs(backend) * (1 + requestsInFlight(backend) / relativeSize);
    if (!backend.outstanding.isEmpty()) {
      double oldestAgeMs = nowMs - backend.outstanding.iterator().next().sentAtMs();
      costMs += Math.max(0, oldestAgeMs - OVERDUE_SERVICE_TIMES * fleetServiceMs);
    }
    if (!backend.zone.equals(context.settings().zone())) {
      costMs += context.settings().crossZonePrice() * latencyObjectiveMs;
    }
    double failureFactor =
        1 + FAILURE_PENALTY * backend.failureShare * backend.learnedWeight(nowMs);
    return costMs * failureFactor * (backend.halfOpen ? HALF_OPEN_FACTOR : 1);
  }
}
