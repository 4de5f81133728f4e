package quotagateway.endpoint;

import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap;
import java.util.BitSet;
import java.util.function.IntConsumer;

/**
 * All endpoints that discovery has listed, and the orders that choices are made in. An endpoint is
 * known by its slot, a small number that is free for another one once it is removed. A change costs
 * the logarithm of the list. Nothing is decided here. Owned by the policy's thread.
 */
public class EndpointIndex implements ServingEndpoints {

  /** Stands for no slot. */
  public static final int NONE = OrderedSlots.NONE;

  /** Weights beyond these are junk, which would pass for nearly all or none of the fleet. */
  private static final double MIN_WEIGHT = 1e-6;

  private static final double MAX_WEIGHT = 1e9;

  private final EndpointColumns columns = new EndpointColumns();
  private final EndpointGroups groups = new EndpointGroups(columns);
  private final SnapshotRemoval removal = new SnapshotRemoval();

  /** Slots of endpoints that drain or are removed, by identifier; others are found in an order. */
  private final Long2IntOpenHashMap notServing = new Long2IntOpenHashMap();

  private final OrderedSlots serving = new OrderedSlots(this::id);

  /** What the endpoint list says of those that are assumed to have started at another time. */
  private final Int2DoubleOpenHashMap listedStartsMs = new Int2DoubleOpenHashMap();

  private final WarmingUpEndpoints warmingUp = new WarmingUpEndpoints(columns);
  private final MeanWeight meanWeight = new MeanWeight();
  private OrderedSlots ranked;
  private long gateway;

  /** An empty index of one gateway, whose order of ranks differs from those of others. */
  public EndpointIndex(long gateway) {
    notServing.defaultReturnValue(NONE);
    rankFor(gateway);
  }

  /** Orders the ranks anew for a gateway. */
  public final void rankFor(long newGateway) {
    gateway = newGateway;
    ranked = new OrderedSlots(slot -> RendezvousHash.rank(id(slot), newGateway));
    for (int i = 0; i < serving.size(); i++) {
      ranked.add(serving.get(i));
    }
  }

  /** The gateway that the ranks are for. */
  public long gateway() {
    return gateway;
  }

  // ---- Orders ----

  /** The slot of an endpoint, or {@link #NONE}. */
  public int find(long id) {
    int slot = serving.find(id);
    return slot == NONE ? notServing.get(id) : slot;
  }

  /** All endpoints that serve, by identifier. */
  public OrderedSlots serving() {
    return serving;
  }

  /** The same in the gateway's own order. */
  public OrderedSlots ranked() {
    return ranked;
  }

  /** Those of them in a zone, by identifier. */
  public OrderedSlots inZone(String zone) {
    return groups.inZone(zone);
  }

  /** Those of them in a cell of a zone, by identifier. */
  public OrderedSlots inCell(String zone, int cell) {
    return groups.inCell(zone, cell);
  }

  /** Whether an endpoint is among the first so many in the gateway's own order. */
  public boolean isAmongFirst(int count, int slot) {
    return count > 0
        && state(slot) == EndpointState.SERVING
        && RendezvousHash.rank(id(slot), gateway)
            <= RendezvousHash.rank(id(ranked.get(count - 1)), gateway);
  }

  // ---- One endpoint ----

  @Override
  public long address(long id) {
    int slot = find(id);
    boolean serves = slot != NONE && state(slot) == EndpointState.SERVING && !hasLeft(slot);
    return serves ? columns.address(slot) : Endpoint.NO_ADDRESS;
  }

  @Override
  public double startedMs(long id) {
    int slot = find(id);
    return slot == NONE ? 0 : listedStartsMs.getOrDefault(slot, assumedStartMs(slot));
  }

  @Override
  public boolean anyServing() {
    return serving.size() > 0;
  }

  /** The identifier of an endpoint. */
  public long id(int slot) {
    return columns.id(slot);
  }

  /** The capacity of an endpoint relative to others. */
  public double weight(int slot) {
    return columns.weight(slot);
  }

  /** When it is assumed to have started, in Unix milliseconds; 0 when that was long ago. */
  public double assumedStartMs(int slot) {
    return columns.startedMs(slot);
  }

  /** The state of an endpoint. */
  public EndpointState state(int slot) {
    return columns.state(slot);
  }

  /** The group number of its zone and cell. */
  public int group(int slot) {
    return columns.group(slot);
  }

  /** The zone of a group. */
  public String zone(int group) {
    return groups.zone(group);
  }

  /** The number that a group has as a cell of its zone. */
  public int cell(int group) {
    return groups.cell(group);
  }

  /** Whether it started less than so long ago. */
  public boolean isWarmingUp(int slot, double warmUpMs, double nowMs) {
    return warmingUp.isWarmingUp(slot, warmUpMs, nowMs);
  }

  /** Whether an endpoint has left, though its orders still have it. */
  public boolean hasLeft(int slot) {
    return removal.isPending(slot);
  }

  /** How many slots there are, free ones included. */
  public int capacity() {
    return columns.capacity();
  }

  /** Whether an endpoint has this slot. */
  public boolean isUsed(int slot) {
    return columns.isUsed(slot);
  }

  // ---- All endpoints that serve ----

  /** The mean weight of those that serve; 1 where none does. */
  public double meanWeight() {
    return meanWeight.value();
  }

  /** How many of those that serve started no less than so long ago. */
  public int countWarm(double warmUpMs, double nowMs) {
    return serving.size() - warmingUp.count(warmUpMs, nowMs);
  }

  /** Looks anew at which endpoints are warming up, as another time holds for that. */
  public void recountWarmingUp(double warmUpMs, double nowMs) {
    for (int i = 0; i < serving.size(); i++) {
      int slot = serving.get(i);
      warmingUp.remove(slot);
      warmingUp.addIfWarmingUp(slot, warmUpMs, nowMs);
    }
  }

  // ---- Changes ----

  /** The group number of a zone and cell; a new one gets the next higher number, the first 0. */
  public int group(String zone, int cell) {
    return groups.number(zone, cell);
  }

  /** Gives a slot to an endpoint that is not known; it counts as removed until its update. */
  public int add(long id, int group) {
    int slot = columns.allocate(id);
    columns.setGroupAndState(slot, group, EndpointState.REMOVED);
    notServing.put(id, slot);
    return slot;
  }

  /** Takes where an endpoint listens. */
  public void setAddress(int slot, long address) {
    columns.setAddress(slot, address);
  }

  /**
   * Takes what the endpoint list says of an endpoint now.
   *
   * @param startedMs when it is assumed to have started; 0 for long ago
   * @param warmUpMs for how long it then warms up
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
    boolean served = state(slot) == EndpointState.SERVING;
    boolean serves = state == EndpointState.SERVING;
    boolean ordersChange = served != serves || group(slot) != group;
    if (served) {
      warmingUp.remove(slot);
      meanWeight.subtract(weight(slot));
      if (ordersChange) {
        leaveOrders(slot);
      }
    }
    columns.setGroupAndState(slot, group, state);
    columns.setWeight(slot, Math.min(Math.max(weight, MIN_WEIGHT), MAX_WEIGHT));
    columns.setStartedMs(slot, startedMs);
    if (serves) {
      if (ordersChange) {
        joinOrders(slot);
      }
      meanWeight.add(weight(slot));
      warmingUp.addIfWarmingUp(slot, warmUpMs, nowMs);
    }
    if (!serves && served) {
      notServing.put(id(slot), slot);
    }
  }

  /** Assumes that an endpoint started then, whatever the endpoint list says. */
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

  /** The endpoint list names another process of an endpoint: what was assumed is over. */
  public void forgetAssumedStart(int slot) {
    listedStartsMs.remove(slot);
  }

  /**
   * All endpoints but those whose slots are named, and those that are updated from now on, have
   * left: {@link #hasLeft} says so at once, and {@link #sweep} removes them.
   */
  public void keepOnly(BitSet namedSlots) {
    removal.begin(namedSlots);
  }

  /**
   * Has up to so many of those that have left count as removed, and hands over their slots; true if
   * any remain.
   */
  public boolean sweep(int maxRemovals, IntConsumer removed) {
    int count = 0;
    while (removal.isUnderWay() && count < maxRemovals) {
      int slot = removal.next(capacity());
      if (slot != NONE && isUsed(slot) && state(slot) != EndpointState.REMOVED) {
        update(slot, group(slot), EndpointState.REMOVED, weight(slot), assumedStartMs(slot), 0, 0);
        removed.accept(slot);
        count++;
      }
    }
    return removal.isUnderWay();
  }

  /** Forgets an endpoint that does not serve; its slot is free. */
  public void remove(int slot) {
    notServing.remove(id(slot));
    listedStartsMs.remove(slot);
    columns.release(slot);
  }

  private void joinOrders(int slot) {
    notServing.remove(id(slot));
    serving.add(slot);
    ranked.add(slot);
    groups.join(slot);
  }

  private void leaveOrders(int slot) {
    serving.remove(slot);
    ranked.remove(slot);
    groups.leave(slot);
  }
}
