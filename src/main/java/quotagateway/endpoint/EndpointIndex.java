package quotagateway.endpoint;

import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap;
import java.util.BitSet;
import java.util.function.IntConsumer;

/**
 * An index of all endpoints that discovery has listed, with the ordered sets from which backends
 * are selected. An endpoint is identified by its slot, a small number that is reused after the
 * endpoint is removed. A change takes time logarithmic in the number of endpoints. The index makes
 * no decisions. Owned by the policy's thread.
 */
public class EndpointIndex implements ServingEndpoints {

  /** Denotes the absence of a slot. */
  public static final int NONE = OrderedSlots.NONE;

  /**
   * Weights outside these bounds are invalid and are clamped: the endpoint would count as nearly
   * all or none of the fleet's capacity.
   */
  private static final double MIN_WEIGHT = 1e-6;

  private static final double MAX_WEIGHT = 1e9;

  private final EndpointColumns columns = new EndpointColumns();
  private final EndpointGroups groups = new EndpointGroups(columns);
  private final SnapshotRemoval removal = new SnapshotRemoval();

  /**
   * Slots of draining and removed endpoints, by identifier; serving endpoints are found in the
   * ordered set.
   */
  private final Long2IntOpenHashMap slotsNotServing = new Long2IntOpenHashMap();

  private final OrderedSlots serving = new OrderedSlots(this::id);

  /** Listed start times, by slot, of the endpoints whose assumed start time differs. */
  private final Int2DoubleOpenHashMap listedStartsMs = new Int2DoubleOpenHashMap();

  private final WarmingUpEndpoints warmingUp = new WarmingUpEndpoints(columns);
  private final MeanWeight meanWeight = new MeanWeight();
  private OrderedSlots ranked;
  private long gatewayIndex;

  /** Creates an empty index, whose ranking is specific to the gateway with the given index. */
  public EndpointIndex(long gatewayIndex) {
    slotsNotServing.defaultReturnValue(NONE);
    rankForGateway(gatewayIndex);
  }

  /** Recomputes the ranking for the gateway with the given index. */
  public final void rankForGateway(long newGatewayIndex) {
    gatewayIndex = newGatewayIndex;
    ranked = new OrderedSlots(slot -> RendezvousHash.rank(id(slot), newGatewayIndex));
    for (int i = 0; i < serving.size(); i++) {
      ranked.add(serving.get(i));
    }
  }

  /** Returns the index of the gateway that the ranking is for. */
  public long gatewayIndex() {
    return gatewayIndex;
  }

  // ---- Ordered sets ----

  /** Returns the slot of an endpoint, or {@link #NONE} if the index does not contain it. */
  public int find(long id) {
    int slot = serving.find(id);
    return slot == NONE ? slotsNotServing.get(id) : slot;
  }

  /** Returns the serving endpoints, ordered by identifier. */
  public OrderedSlots serving() {
    return serving;
  }

  /** Returns the serving endpoints, in the ranking of this gateway. */
  public OrderedSlots ranked() {
    return ranked;
  }

  /** Returns the serving endpoints of a zone, ordered by identifier. */
  public OrderedSlots servingInZone(String zone) {
    return groups.servingInZone(zone);
  }

  /** Returns the serving endpoints of a cell of a zone, ordered by identifier. */
  public OrderedSlots servingInCell(String zone, int cell) {
    return groups.servingInCell(zone, cell);
  }

  /** Returns whether an endpoint is among the first {@code count} in the gateway's ranking. */
  public boolean isRankedWithin(int count, int slot) {
    return count > 0
        && state(slot) == EndpointState.SERVING
        && RendezvousHash.rank(id(slot), gatewayIndex)
            <= RendezvousHash.rank(id(ranked.get(count - 1)), gatewayIndex);
  }

  // ---- One endpoint ----

  @Override
  public long address(long id) {
    int slot = find(id);
    boolean isServing =
        slot != NONE && state(slot) == EndpointState.SERVING && !isPendingRemoval(slot);
    return isServing ? columns.address(slot) : Endpoint.NO_ADDRESS;
  }

  @Override
  public double startedMs(long id) {
    int slot = find(id);
    return slot == NONE ? 0 : listedStartsMs.getOrDefault(slot, assumedStartMs(slot));
  }

  @Override
  public boolean hasServingEndpoint() {
    return serving.size() > 0;
  }

  /** Returns the identifier of an endpoint. */
  public long id(int slot) {
    return columns.id(slot);
  }

  /** Returns the capacity of an endpoint relative to others. */
  public double weight(int slot) {
    return columns.weight(slot);
  }

  /** Returns the assumed start time of an endpoint, in Unix milliseconds; 0 if it was long ago. */
  public double assumedStartMs(int slot) {
    return columns.startedMs(slot);
  }

  /** Returns the state of an endpoint. */
  public EndpointState state(int slot) {
    return columns.state(slot);
  }

  /** Returns the group number of an endpoint's zone and cell. */
  public int group(int slot) {
    return columns.group(slot);
  }

  /** Returns the zone of a group. */
  public String zone(int group) {
    return groups.zone(group);
  }

  /** Returns the cell number of a group within its zone. */
  public int cell(int group) {
    return groups.cell(group);
  }

  /** Returns whether an endpoint started less than {@code warmUpMs} ago. */
  public boolean isWarmingUp(int slot, double warmUpMs, double nowMs) {
    return warmingUp.isWarmingUp(slot, warmUpMs, nowMs);
  }

  /** Returns whether an endpoint is missing from the latest snapshot and waits to be swept. */
  public boolean isPendingRemoval(int slot) {
    return removal.isPending(slot);
  }

  /** Returns the number of slots, including free ones. */
  public int capacity() {
    return columns.capacity();
  }

  /** Returns whether the slot belongs to an endpoint. */
  public boolean isUsed(int slot) {
    return columns.isUsed(slot);
  }

  // ---- All serving endpoints ----

  /** Returns the mean weight of the serving endpoints, or 1 if there are none. */
  public double meanWeight() {
    return meanWeight.value();
  }

  /** Returns the number of serving endpoints that started at least {@code warmUpMs} ago. */
  public int countWarm(double warmUpMs, double nowMs) {
    return serving.size() - warmingUp.count(warmUpMs, nowMs);
  }

  /** Recomputes which endpoints are warming up after a change of the warm-up time. */
  public void recountWarmingUp(double warmUpMs, double nowMs) {
    for (int i = 0; i < serving.size(); i++) {
      int slot = serving.get(i);
      warmingUp.remove(slot);
      warmingUp.addIfWarmingUp(slot, warmUpMs, nowMs);
    }
  }

  // ---- Changes ----

  /** Returns the group number of a zone and cell. New groups are numbered consecutively from 0. */
  public int groupNumber(String zone, int cell) {
    return groups.groupNumber(zone, cell);
  }

  /** Adds a new endpoint and returns its slot. Its state is {@code REMOVED} until it is updated. */
  public int add(long id, int group) {
    int slot = columns.allocate(id);
    columns.setGroupAndState(slot, group, EndpointState.REMOVED);
    slotsNotServing.put(id, slot);
    return slot;
  }

  /** Sets the address that an endpoint listens on. */
  public void setAddress(int slot, long address) {
    columns.setAddress(slot, address);
  }

  /**
   * Updates the properties of an endpoint.
   *
   * @param startedMs the assumed start time in Unix milliseconds; 0 if it was long ago
   * @param warmUpMs time after its start during which the endpoint warms up
   */
  public void update(
      int slot,
      int group,
      EndpointState state,
      double weight,
      double startedMs,
      double warmUpMs,
      double nowMs) {
    removal.keep(slot);
    boolean wasServing = state(slot) == EndpointState.SERVING;
    boolean isServing = state == EndpointState.SERVING;
    boolean orderedSetsChange = wasServing != isServing || group(slot) != group;
    if (wasServing) {
      warmingUp.remove(slot);
      meanWeight.subtract(weight(slot));
      if (orderedSetsChange) {
        removeFromOrderedSets(slot);
      }
    }
    columns.setGroupAndState(slot, group, state);
    columns.setWeight(slot, Math.min(Math.max(weight, MIN_WEIGHT), MAX_WEIGHT));
    columns.setStartedMs(slot, startedMs);
    if (isServing) {
      if (orderedSetsChange) {
        addToOrderedSets(slot);
      }
      meanWeight.add(weight(slot));
      warmingUp.addIfWarmingUp(slot, warmUpMs, nowMs);
    }
    if (!isServing && wasServing) {
      slotsNotServing.put(id(slot), slot);
    }
  }

  /** Sets the assumed start time of an endpoint, overriding the endpoint list. */
  public void assumeStarted(int slot, double startedMs, double warmUpMs, double nowMs) {
    double listedStartMs = listedStartsMs.getOrDefault(slot, assumedStartMs(slot));
    if (startedMs == listedStartMs) {
      listedStartsMs.remove(slot);
    } else {
      listedStartsMs.put(slot, listedStartMs);
    }
    warmingUp.remove(slot);
    columns.setStartedMs(slot, startedMs);
    if (state(slot) == EndpointState.SERVING) {
      warmingUp.addIfWarmingUp(slot, warmUpMs, nowMs);
    }
  }

  /** Discards the override of an endpoint's start time, because its process was replaced. */
  public void clearAssumedStart(int slot) {
    listedStartsMs.remove(slot);
  }

  /**
   * Marks all endpoints as no longer listed, except those with the given slots and those that are
   * updated from now on. {@link #isPendingRemoval} reflects this at once; {@link #sweep} then sets
   * the state of the marked endpoints to {@code REMOVED}.
   */
  public void beginSnapshotRemoval(BitSet listedSlots) {
    removal.begin(listedSlots);
  }

  /**
   * Sets the state of up to {@code maxRemovals} endpoints that are no longer listed to {@code
   * REMOVED}, and passes their slots to the consumer. Returns whether more slots remain to be
   * checked.
   */
  public boolean sweep(int maxRemovals, IntConsumer onRemoved) {
    int removedCount = 0;
    while (removal.isInProgress() && removedCount < maxRemovals) {
      int slot = removal.next(capacity());
      if (slot != NONE && isUsed(slot) && state(slot) != EndpointState.REMOVED) {
        update(slot, group(slot), EndpointState.REMOVED, weight(slot), assumedStartMs(slot), 0, 0);
        onRemoved.accept(slot);
        removedCount++;
      }
    }
    return removal.isInProgress();
  }

  /** Removes an endpoint that is not serving, and frees its slot. */
  public void remove(int slot) {
    slotsNotServing.remove(id(slot));
    listedStartsMs.remove(slot);
    columns.release(slot);
  }

  private void addToOrderedSets(int slot) {
    slotsNotServing.remove(id(slot));
    serving.add(slot);
    ranked.add(slot);
    groups.addServing(slot);
  }

  private void removeFromOrderedSets(int slot) {
    serving.remove(slot);
    ranked.remove(slot);
    groups.removeServing(slot);
  }
}
