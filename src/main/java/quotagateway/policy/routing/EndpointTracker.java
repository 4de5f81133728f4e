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
 * Follows the endpoint list: keeps the index of all endpoints up to date, and a full {@link
 * BackendStatus} of those backends that this gateway has met. Owned by the policy's thread.
 *
 * <p>The index has a few dozen bytes for each endpoint, a status some hundred: with tens of
 * thousands of endpoints, those that nothing is known of have none.
 */
final class EndpointTracker {

  /**
   * Statuses kept beside those of the subset: more than most fleets have backends, and no more than
   * a few megabytes.
   */
  private static final int MAX_OTHER_STATUSES = 4_000;

  /** Looking for statuses to drop more often than this would find few. */
  private static final double MIN_CLEANUP_INTERVAL_MS = 10_000;

  /** What was learned of a backend and has faded to this weight changes no decision any more. */
  private static final double NEGLIGIBLE_WEIGHT = 0.001;

  /** Endpoints removed in one go: about a millisecond, in which no request is served. */
  private static final int MAX_REMOVALS_AT_ONCE = 200;

  /** Pause between two such goes, which lets requests in between. */
  private static final double SWEEP_PAUSE_MS = 1;

  /** Pause after the endpoint list could not be had. */
  private static final double WATCH_RETRY_MS = 1_000;

  /**
   * Backends that a gateway keeps to, and gateways that each backend is used by at least: many
   * enough to spread load, few enough to keep connections few.
   */
  private static final int MIN_SUBSET_SIZE = 12;

  private final DecisionContext context;
  private final EndpointIndex index;
  private final GroupReachabilities reachabilities;
  private final SlowStartLimiter slowStart;
  private final OutlierDetector outliers;

  /** By their slots in the index. */
  private final Int2ObjectOpenHashMap<BackendStatus> statuses = new Int2ObjectOpenHashMap<>();

  /** Slots of endpoints that are removed from the list, until they are removed from the index. */
  private final IntArrayList removedSlots = new IntArrayList();

  /** Slots named so far by the snapshot that is coming in, or null. */
  private BitSet snapshotSlots;

  private boolean sweepScheduled;
  private int subsetSize;
  private double cleanedUpAtMs = Double.NEGATIVE_INFINITY;

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

  /** How many backends, first in this gateway's own order of the index, it keeps to. */
  int subsetSize() {
    return subsetSize;
  }

  /** How many backends have a full status. */
  int statusCount() {
    return statuses.size();
  }

  // ---- The endpoint list ----

  /** Takes a message of the endpoint list, a whole one or a part. */
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
      index.keepOnly(snapshotSlots);
    }
    if (form != EndpointListForm.FRAGMENT) {
      snapshotSlots = null;
    }
    sweep();
  }

  /** Takes one entry; an endpoint that has started again is a new backend. */
  private void updateEndpoint(Endpoint endpoint) {
    int group = index.group(endpoint.zone(), endpoint.cell());
    int knownSlot = index.find(endpoint.id());
    int slot = knownSlot == EndpointIndex.NONE ? index.add(endpoint.id(), group) : knownSlot;
    BackendStatus status = statuses.get(slot);
    double listedStartMs = status == null ? index.assumedStartMs(slot) : status.listedStartMs;
    boolean sameProcess = knownSlot != EndpointIndex.NONE && listedStartMs == endpoint.startedMs();
    double startedMs = sameProcess ? index.assumedStartMs(slot) : endpoint.startedMs();
    double size = context.settings().endpointWeightsTold() ? endpoint.weight() : 1;
    index.setAddress(slot, endpoint.address());
    index.update(slot, group, endpoint.state(), size, startedMs, warmUpMs(), context.nowMs());
    if (!sameProcess) {
      index.forgetAssumedStart(slot);
      replaceStatus(slot);
    } else if (status != null) {
      joinGroup(status);
    }
    if (endpoint.state() == EndpointState.REMOVED) {
      removedSlots.add(slot);
    }
    if (snapshotSlots != null) {
      snapshotSlots.set(slot);
    }
  }

  /** Goes on removing endpoints, after the pause that it was scheduled for. */
  void continueSweep() {
    sweepScheduled = false;
    sweep();
  }

  /**
   * Removes endpoints that have left, in several goes where there are many.
   *
   * <p>Prevents a stall of all requests while thousands are removed at once. Cost: none known, as
   * the index lets none be chosen that has left.
   */
  private void sweep() {
    boolean moreRemain = index.sweep(MAX_REMOVALS_AT_ONCE, removedSlots::add);
    if (moreRemain && !sweepScheduled) {
      context.emit(new ScheduleTimer(context.nowMs() + SWEEP_PAUSE_MS, Timer.ENDPOINT_SWEEP));
    }
    sweepScheduled = moreRemain;
    removedSlots.removeIf(this::removeIfIdle);
    subsetSize = subsetSizeOf(index.serving().size());
    slowStart.warmCountChanged();
  }

  private int subsetSizeOf(int servingCount) {
    int gatewayCount = Math.max(1, context.settings().gatewayCount());
    int fairSize = MIN_SUBSET_SIZE * servingCount / gatewayCount;
    return Math.min(servingCount, Math.max(MIN_SUBSET_SIZE, fairSize));
  }

  /**
   * Removes an endpoint from the index, unless an attempt is outstanding there; true when it need
   * not be looked at again.
   */
  private boolean removeIfIdle(int slot) {
    if (!index.isUsed(slot) || index.state(slot) != EndpointState.REMOVED) {
      return true;
    }
    BackendStatus status = statuses.get(slot);
    if (status != null && !status.outstanding.isEmpty()) {
      return false;
    }
    statuses.remove(slot);
    index.remove(slot);
    return true;
  }

  // ---- Statuses ----

  /** The status of a backend; one that had none is new, and without tokens if it warms up. */
  BackendStatus status(int slot) {
    BackendStatus known = statuses.get(slot);
    if (known != null) {
      return known;
    }
    double nowMs = context.nowMs();
    if (isFull() && nowMs - cleanedUpAtMs > MIN_CLEANUP_INTERVAL_MS) {
      cleanedUpAtMs = nowMs;
      statuses.values().removeIf(this::isDispensable);
    }
    BackendStatus created = newStatus(slot, index.isWarmingUp(slot, warmUpMs(), nowMs) ? 0 : 1);
    // In the list since the start and good ever since: a process that came later warms up first,
    // and got its status then.
    created.lastResponseAtMs = context.startedAtMs();
    statuses.put(slot, created);
    return created;
  }

  /**
   * Another process has this slot: nothing is known of it. One that warms up has a status at once,
   * while there is room, so that its bucket begins to fill.
   */
  private void replaceStatus(int slot) {
    double slowStartTokens = context.nextRandom();
    statuses.remove(slot);
    if (index.isWarmingUp(slot, warmUpMs(), context.nowMs()) && !isFull()) {
      statuses.put(slot, newStatus(slot, slowStartTokens));
    }
  }

  private BackendStatus newStatus(int slot, double slowStartTokens) {
    BackendStatus created =
        new BackendStatus(
            slot, index.id(slot), index.assumedStartMs(slot), slowStartTokens, context.nowMs());
    joinGroup(created);
    return created;
  }

  /** Takes a backend's zone and cell as the index has them. */
  private void joinGroup(BackendStatus backend) {
    int group = index.group(backend.slot);
    backend.zone = index.zone(group);
    backend.cell = index.cell(group);
    backend.zoneReachability = reachabilities.ofZone(backend.zone);
    backend.cellReachability = reachabilities.ofCell(group);
  }

  /** Assumes that a backend started at that time, whatever the list says. */
  void assumeStarted(BackendStatus backend, double startedMs) {
    backend.assumedStartMs = startedMs;
    // An attempt may still be outstanding at a process that was replaced: the index has the newer.
    if (statuses.get(backend.slot) == backend) {
      index.assumeStarted(backend.slot, startedMs, warmUpMs(), context.nowMs());
    }
  }

  private boolean isFull() {
    return statuses.size() >= subsetSize + MAX_OTHER_STATUSES;
  }

  /** Whether a new status would serve as well, as nothing that matters is known any more. */
  private boolean isDispensable(BackendStatus backend) {
    double nowMs = context.nowMs();
    return backend.outstanding.isEmpty()
        && backend.assumedStartMs == backend.listedStartMs
        && !index.isWarmingUp(backend.slot, warmUpMs(), nowMs)
        && outliers.isForgotten(backend)
        && backend.learnedWeight(nowMs) < NEGLIGIBLE_WEIGHT
        && !index.isAmongFirst(subsetSize, backend.slot);
  }

  private double warmUpMs() {
    return context.settings().rules().warmUpMs();
  }
}
