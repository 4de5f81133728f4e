package quotagateway.policy.routing;

import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.OrderedSlots;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.DeduplicationScope;

/**
 * Chooses the backend for an attempt: the one of least cost of a few drawn at random (power of two
 * choices). They are drawn from this gateway's subset; where none of those can be used, from all;
 * then from the subset again, ejected ones included. A request that is bound to a zone or a cell
 * stays there. Owned by the policy's thread.
 *
 * <p>Prevents a herd: with many gateways, equal and late load reports would send all requests to
 * the same backend. Cost: the best backend is often not among those drawn.
 */
final class EndpointSelector {

  /**
   * Backends compared for a request, over all gateways: the more gateways, the fewer each compares,
   * so that not all find the same best one.
   */
  private static final double FLEET_CANDIDATES = 30;

  /** With a single candidate there would be no choice. */
  private static final int MIN_CANDIDATES = 2;

  /** Draws for each candidate wanted, as some drawn cannot be used. */
  private static final int DRAWS_PER_CANDIDATE = 3;

  /** Random spread of costs, so that gateways with the same reports choose differently. */
  private static final double COST_SPREAD = 0.15;

  /** Where the latest attempt failed, the next one goes only if others cost far more. */
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
   * The backend for the next attempt of a request, or null where none can be used.
   *
   * @param latencyObjectiveMs of the request
   */
  BackendStatus select(RequestRouting request, double latencyObjectiveMs) {
    BackendStatus boundTo = request.boundTo();
    if (boundTo != null) {
      OrderedSlots group = deduplicationGroup(request, boundTo);
      return bestInGroup(group, group.size(), request, latencyObjectiveMs);
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

  private BackendStatus bestInGroup(
      OrderedSlots group, int size, RequestRouting request, double latencyObjectiveMs) {
    BackendStatus best = cheapest(group, size, request, latencyObjectiveMs, false);
    return best != null ? best : cheapest(group, size, request, latencyObjectiveMs, true);
  }

  /** The backends that drop a repeated execution of the request. */
  private OrderedSlots deduplicationGroup(RequestRouting request, BackendStatus first) {
    return request.requestClass().deduplicationScope() == DeduplicationScope.ZONE
        ? index.inZone(first.zone)
        : index.inCell(first.zone, first.cell);
  }

  /**
   * The cheapest of a few usable backends among the first so many of an order: all of them where
   * they are few, or else drawn at random, perhaps more than once.
   */
  private BackendStatus cheapest(
      OrderedSlots order,
      int size,
      RequestRouting request,
      double latencyObjectiveMs,
      boolean ejectedToo) {
    int candidates = candidateCount();
    boolean compareAll = size <= candidates;
    int draws = compareAll ? size : DRAWS_PER_CANDIDATE * candidates;
    BackendStatus best = null;
    double lowestCostMs = Double.POSITIVE_INFINITY;
    int found = 0;
    for (int i = 0; i < draws && found < candidates; i++) {
      int place = compareAll ? i : context.nextRandom(size);
      BackendStatus candidate = tracker.status(order.get(place));
      if (!isUsable(candidate, request, ejectedToo)) {
        continue;
      }
      found++;
      double costMs = spreadCostMs(candidate, request, latencyObjectiveMs);
      if (costMs < lowestCostMs) {
        lowestCostMs = costMs;
        best = candidate;
      }
    }
    return best;
  }

  private int candidateCount() {
    int gatewayCount = Math.max(2, context.settings().gatewayCount());
    return (int) Math.max(MIN_CANDIDATES, Math.ceil(FLEET_CANDIDATES / gatewayCount));
  }

  private double spreadCostMs(
      BackendStatus candidate, RequestRouting request, double latencyObjectiveMs) {
    double costMs = load.costMs(candidate, latencyObjectiveMs);
    double spread = 1 + COST_SPREAD * context.nextRandom();
    double repeated = candidate == request.lastBackend() ? LAST_BACKEND_COST_FACTOR : 1;
    return costMs * spread * repeated;
  }

  /** Asks the limiter last, as its answer refills the backend's tokens. */
  private boolean isUsable(BackendStatus backend, RequestRouting request, boolean ejectedToo) {
    if (index.hasLeft(backend.slot) || outliers.isPaused(backend)) {
      return false;
    }
    boolean open =
        ejectedToo || !outliers.isClosedTo(backend, request.requestClass().idempotency());
    return open && slowStart.admits(backend);
  }
}
