package quotagateway.policy.routing;

import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.OrderedSlots;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.DeduplicationScope;

/**
 * Selects the backend for an attempt: the one with the lowest cost among a few random candidates
 * (power of two choices). Candidates are drawn from this gateway's subset. If no backend of the
 * subset can be used, they are drawn from all backends, and then from the subset again with ejected
 * and unreachable backends included. A request that is bound to a zone or a cell stays there. Owned
 * by the policy's thread.
 *
 * <p>Random candidates avoid a thundering herd: many gateways with the same delayed load reports
 * would otherwise send all requests to the same backend. The drawback is that the cheapest backend
 * is often not among the candidates.
 */
final class EndpointSelector {

  /**
   * Candidates in total over all gateways. The more gateways there are, the fewer candidates each
   * one compares, so that they do not all find the same cheapest backend.
   */
  private static final double CANDIDATES_OVER_ALL_GATEWAYS = 30;

  /** A single candidate would be selected at random, whatever its cost. */
  private static final int MIN_CANDIDATES = 2;

  /** Maximum draws for each candidate, because some of the drawn backends cannot be used. */
  private static final int MAX_DRAWS_PER_CANDIDATE = 3;

  /** Random increase of costs, so that gateways with the same load reports choose differently. */
  private static final double COST_JITTER = 0.15;

  /** A request returns to the backend of its latest attempt only if others cost far more. */
  private static final double LAST_BACKEND_COST_FACTOR = 4;

  private final DecisionContext context;
  private final EndpointIndex index;
  private final EndpointTracker tracker;
  private final LoadEstimator load;
  private final OutlierDetector outliers;
  private final SlowStartLimiter slowStart;

  EndpointSelector(
      DecisionContext context,
      EndpointIndex index,
      EndpointTracker tracker,
      LoadEstimator load,
      OutlierDetector outliers,
      SlowStartLimiter slowStart) {
    this.context = context;
    this.index = index;
    this.tracker = tracker;
    this.load = load;
    this.outliers = outliers;
    this.slowStart = slowStart;
  }

  /**
   * Returns the backend for the next attempt of a request, or null if none can be used.
   *
   * @param latencyObjectiveMs the latency objective of the request
   */
  BackendStatus select(RequestRouting request, double latencyObjectiveMs) {
    BackendStatus boundBackend = request.boundBackend();
    if (boundBackend != null) {
      OrderedSlots group = deduplicationGroup(request, boundBackend);
      return selectInGroup(group, group.size(), request, latencyObjectiveMs);
    }
    OrderedSlots ranked = index.ranked();
    int subsetSize = tracker.subsetSize();
    BackendStatus best = cheapest(ranked, subsetSize, request, latencyObjectiveMs, false);
    if (best == null) {
      OrderedSlots all = index.serving();
      best = cheapest(all, all.size(), request, latencyObjectiveMs, false);
    }
    if (best == null) {
      best = cheapest(ranked, subsetSize, request, latencyObjectiveMs, true);
    }
    return best;
  }

  private BackendStatus selectInGroup(
      OrderedSlots group, int size, RequestRouting request, double latencyObjectiveMs) {
    BackendStatus best = cheapest(group, size, request, latencyObjectiveMs, false);
    return best != null ? best : cheapest(group, size, request, latencyObjectiveMs, true);
  }

  /** Returns the backends that deduplicate the request together with the given backend. */
  private OrderedSlots deduplicationGroup(RequestRouting request, BackendStatus backend) {
    return request.requestClass().deduplicationScope() == DeduplicationScope.ZONE
        ? index.servingInZone(backend.zone)
        : index.servingInCell(backend.zone, backend.cell);
  }

  /**
   * Returns the cheapest of a few usable backends among the first {@code size} slots, or null if
   * none is usable. Compares all of these backends if there are few; otherwise draws candidates at
   * random with replacement.
   */
  private BackendStatus cheapest(
      OrderedSlots slots,
      int size,
      RequestRouting request,
      double latencyObjectiveMs,
      boolean includeEjected) {
    int candidates = candidateCount();
    boolean compareAll = size <= candidates;
    int draws = compareAll ? size : MAX_DRAWS_PER_CANDIDATE * candidates;
    BackendStatus best = null;
    double lowestCostMs = Double.POSITIVE_INFINITY;
    int compared = 0;
    for (int i = 0; i < draws && compared < candidates; i++) {
      int position = compareAll ? i : context.nextRandom(size);
      BackendStatus candidate = tracker.getOrCreateStatus(slots.get(position));
      if (!isUsable(candidate, request, includeEjected)) {
        continue;
      }
      compared++;
      double costMs = jitteredCostMs(candidate, request, latencyObjectiveMs);
      if (costMs < lowestCostMs) {
        lowestCostMs = costMs;
        best = candidate;
      }
    }
    return best;
  }

  private int candidateCount() {
    int gatewayCount = Math.max(2, context.settings().gatewayCount());
    return (int) Math.max(MIN_CANDIDATES, Math.ceil(CANDIDATES_OVER_ALL_GATEWAYS / gatewayCount));
  }

  private double jitteredCostMs(
      BackendStatus candidate, RequestRouting request, double latencyObjectiveMs) {
    double costMs = load.costMs(candidate, latencyObjectiveMs);
    double jitter = 1 + COST_JITTER * context.nextRandom();
    double lastBackendFactor = candidate == request.lastBackend() ? LAST_BACKEND_COST_FACTOR : 1;
    return costMs * jitter * lastBackendFactor;
  }

  /**
   * Returns whether a backend can get an attempt. Asks the slow-start limiter last, because that
   * refills the backend's tokens.
   */
  private boolean isUsable(BackendStatus backend, RequestRouting request, boolean includeEjected) {
    if (index.isPendingRemoval(backend.slot) || outliers.isPaused(backend)) {
      return false;
    }
    boolean available =
        includeEjected || !outliers.isUnavailableFor(backend, request.requestClass().idempotency());
    return available && slowStart.admits(backend);
  }
}
