package quotagateway.policy.routing;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.BitSet;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.Timer;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.EndpointsUpdated;

/**
 * Applies updates of the endpoint list to the index of all endpoints, and keeps a {@link
 * BackendStatus} for each backend that this gateway has considered. Owned by the policy's thread.
 *
 * <p>An endpoint takes a few dozen bytes in the index, and a status some hundred bytes. Since there
 * can be tens of thousands of endpoints, those about which nothing is known have no status.
 */
final class EndpointTracker {

  /**
   * Statuses kept in addition to those of the subset: more than most fleets have backends, and at
   * most a few megabytes.
   */
  private static final int MAX_STATUSES_OUTSIDE_SUBSET = 4_000;

  /** Evicting statuses more often would find few of them evictable. */
  private static final double MIN_EVICTION_INTERVAL_MS = 10_000;

  /** Weight below which observations of a backend no longer change any decision. */
  private static final double NEGLIGIBLE_OBSERVATION_WEIGHT = 0.001;

  /** Removing this many endpoints takes about a millisecond, during which no request is served. */
  private static final int MAX_REMOVALS_PER_SWEEP = 200;

  /** Pause between two batches of removals, during which requests are served. */
  private static final double SWEEP_PAUSE_MS = 1;

  /** Pause after a failed attempt to get the endpoint list. */
  private static final double WATCH_RETRY_MS = 1_000;

  /**
   * Minimum number of backends in a gateway's subset, unless fewer are serving, and of gateways
   * that, on average, have a backend in their subsets, unless there are fewer gateways. Enough to
   * spread the load, and few enough to limit the number of connections.
   */
  private static final int MIN_SUBSET_SIZE = 12;

  private final DecisionContext context;
  private final EndpointIndex index;
  private final GroupReachabilities reachabilities;
  private final SlowStartLimiter slowStart;
  private final OutlierDetector outliers;

  /** Keyed by slot in the index. */
  private final Int2ObjectOpenHashMap<BackendStatus> statuses = new Int2ObjectOpenHashMap<>();

  /** Slots of endpoints that the list has removed and that are still in the index. */
  private final IntArrayList slotsToRemove = new IntArrayList();

  /** Slots contained in the fragments of the current snapshot so far; null between snapshots. */
  private BitSet snapshotSlots;

  private boolean sweepScheduled;
  private int subsetSize;
  private double lastEvictionAtMs = Double.NEGATIVE_INFINITY;

  EndpointTracker(
      DecisionContext context,
      EndpointIndex index,
      GroupReachabilities reachabilities,
      SlowStartLimiter slowStart,
      OutlierDetector outliers) {
    this.context = context;
    this.index = index;
    this.reachabilities = reachabilities;
    this.slowStart = slowStart;
    this.outliers = outliers;
  }

  /** Returns the size of this gateway's subset: the first backends in the ranking of the index. */
  int subsetSize() {
    return subsetSize;
  }

  /** Returns the number of backends that have a status. */
  int statusCount() {
    return statuses.size();
  }

  // ---- The endpoint list ----

  /** Applies an update of the endpoint list, or a fragment of one. */
  void update(EndpointsUpdated event) {
    EndpointListForm form = event.form();
    if (form == EndpointListForm.FAILED) {
      context.emit(new ScheduleTimer(context.nowMs() + WATCH_RETRY_MS, Timer.ENDPOINT_WATCH));
      return;
    }
    if (snapshotSlots == null && form != EndpointListForm.DELTA) {
      snapshotSlots = new BitSet(index.capacity());
    }
    event.endpoints().forEach(this::updateEndpoint);
    if (form == EndpointListForm.SNAPSHOT || form == EndpointListForm.CACHED_SNAPSHOT) {
      index.beginSnapshotRemoval(snapshotSlots);
    }
    if (form != EndpointListForm.FRAGMENT) {
      snapshotSlots = null;
    }
    sweep();
  }

  /** Applies one entry of the list; a process that has restarted counts as a new backend. */
  private void updateEndpoint(Endpoint endpoint) {
    int group = index.groupNumber(endpoint.zone(), endpoint.cell());
    int existingSlot = index.find(endpoint.id());
    int slot = existingSlot == EndpointIndex.NONE ? index.add(endpoint.id(), group) : existingSlot;
    BackendStatus status = statuses.get(slot);
    double listedStartMs = status == null ? index.assumedStartMs(slot) : status.listedStartMs;
    boolean sameProcess =
        existingSlot != EndpointIndex.NONE && listedStartMs == endpoint.startedMs();
    double startedMs = sameProcess ? index.assumedStartMs(slot) : endpoint.startedMs();
    double weight = context.settings().endpointWeightsTold() ? endpoint.weight() : 1;
    index.setAddress(slot, endpoint.address());
    index.update(slot, group, endpoint.state(), weight, startedMs, warmUpMs(), context.nowMs());
    if (!sameProcess) {
      index.clearAssumedStart(slot);
      replaceStatus(slot);
    } else if (status != null) {
      updateGroup(status);
    }
    if (endpoint.state() == EndpointState.REMOVED) {
      slotsToRemove.add(slot);
    }
    if (snapshotSlots != null) {
      snapshotSlots.set(slot);
    }
  }

  /** Continues the removal of endpoints after the scheduled pause. */
  void continueSweep() {
    sweepScheduled = false;
    sweep();
  }

  /**
   * Removes endpoints that are no longer listed, in batches.
   *
   * <p>Without batches, removing thousands of endpoints at once would stall all requests. There is
   * no known drawback, because endpoints that wait for removal are not selected.
   */
  private void sweep() {
    boolean moreRemain = index.sweep(MAX_REMOVALS_PER_SWEEP, slotsToRemove::add);
    if (moreRemain && !sweepScheduled) {
      context.emit(new ScheduleTimer(context.nowMs() + SWEEP_PAUSE_MS, Timer.ENDPOINT_SWEEP));
    }
    sweepScheduled = moreRemain;
    slotsToRemove.removeIf(this::removeIfIdle);
    subsetSize = subsetSizeOf(index.serving().size());
    slowStart.invalidateWarmCount();
  }

  private int subsetSizeOf(int servingCount) {
    int gatewayCount = Math.max(1, context.settings().gatewayCount());
    int proportionalSize = MIN_SUBSET_SIZE * servingCount / gatewayCount;
    return Math.min(servingCount, Math.max(MIN_SUBSET_SIZE, proportionalSize));
  }

  /**
   * Removes an endpoint from the index unless it has outstanding attempts. Returns whether the slot
   * needs no further check: the endpoint is removed now, was removed before, or is listed again.
   */
  private boolean removeIfIdle(int slot) {
    if (!index.isUsed(slot) || index.state(slot) != EndpointState.REMOVED) {
      return true;
    }
    BackendStatus status = statuses.get(slot);
    if (status != null && !status.outstandingAttempts.isEmpty()) {
      return false;
    }
    statuses.remove(slot);
    index.remove(slot);
    return true;
  }

  // ---- Statuses ----

  /** Returns the status of a backend, or a new one, without tokens if the backend is warming up. */
  BackendStatus getOrCreateStatus(int slot) {
    BackendStatus existing = statuses.get(slot);
    if (existing != null) {
      return existing;
    }
    double nowMs = context.nowMs();
    if (isStatusLimitReached() && nowMs - lastEvictionAtMs > MIN_EVICTION_INTERVAL_MS) {
      lastEvictionAtMs = nowMs;
      statuses.values().removeIf(this::isEvictable);
    }
    BackendStatus created = newStatus(slot, index.isWarmingUp(slot, warmUpMs(), nowMs) ? 0 : 1);
    // A process that starts later gets its status while it warms up. This one is therefore assumed
    // to have been listed, and to have worked, since the gateway started.
    created.lastResponseAtMs = context.startedAtMs();
    statuses.put(slot, created);
    return created;
  }

  /**
   * Discards the status of a slot that now belongs to a new process. A process that is warming up
   * gets a new status at once, unless the limit of statuses is reached, so that its token bucket
   * starts to fill.
   */
  private void replaceStatus(int slot) {
    double slowStartTokens = context.nextRandom();
    statuses.remove(slot);
    if (index.isWarmingUp(slot, warmUpMs(), context.nowMs()) && !isStatusLimitReached()) {
      statuses.put(slot, newStatus(slot, slowStartTokens));
    }
  }

  private BackendStatus newStatus(int slot, double slowStartTokens) {
    BackendStatus created =
        new BackendStatus(
            slot, index.id(slot), index.assumedStartMs(slot), slowStartTokens, context.nowMs());
    updateGroup(created);
    return created;
  }

  /** Sets a backend's zone and cell, and their reachabilities, from the index. */
  private void updateGroup(BackendStatus backend) {
    int group = index.group(backend.slot);
    backend.zone = index.zone(group);
    backend.cell = index.cell(group);
    backend.zoneReachability = reachabilities.forZone(backend.zone);
    backend.cellReachability = reachabilities.forCell(group);
  }

  /** Sets the assumed start time of a backend, overriding the endpoint list. */
  void assumeStarted(BackendStatus backend, double startedMs) {
    backend.assumedStartMs = startedMs;
    // A replaced process may still have an outstanding attempt; the index then describes the newer
    // process.
    if (statuses.get(backend.slot) == backend) {
      index.assumeStarted(backend.slot, startedMs, warmUpMs(), context.nowMs());
    }
  }

  private boolean isStatusLimitReached() {
    return statuses.size() >= subsetSize + MAX_STATUSES_OUTSIDE_SUBSET;
  }

  /** Returns whether a status contains nothing relevant that a new one would not. */
  private boolean isEvictable(BackendStatus backend) {
    double nowMs = context.nowMs();
    return backend.outstandingAttempts.isEmpty()
        && backend.assumedStartMs == backend.listedStartMs
        && !index.isWarmingUp(backend.slot, warmUpMs(), nowMs)
        && outliers.hasNoRecentEjection(backend)
        && backend.observationWeight(nowMs) < NEGLIGIBLE_OBSERVATION_WEIGHT
        && !index.isRankedWithin(subsetSize, backend.slot);
  }

  private double warmUpMs() {
    return context.settings().rules().warmUpMs();
  }
}
