package quotagateway.endpoint;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.longs.Long2IntOpenHashMap;
import it.unimi.dsi.fastutil.longs.LongArrayList;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * What discovery tells of all backends, in columns of a few dozen bytes for each, and the orders
 * that choices are made in. A backend is known by its slot, a small number that is free for another
 * once it is removed. A change costs the logarithm of the list. Nothing is decided here.
 */
public class EndpointIndex implements ServingEndpoints {

  public static final int NONE = OrderedSlots.NONE;
  private static final OrderedSlots EMPTY = new OrderedSlots(slot -> 0);

  /** Sizes beyond these are junk, which would pass for nearly all or none of the fleet. */
  private static final double LEAST_SIZE = 1e-6;

  private static final double MOST_SIZE = 1e9;

  /** The columns grow by this part of their length: little is left unused. */
  private static final int GROWTH = 32;

  /** The low bits of an entry in the column of groups are its phase. */
  private static final int PHASE_BITS = 2;

  private static final int PHASE_MASK = (1 << PHASE_BITS) - 1;
  private static final EndpointState[] PHASES = EndpointState.values();

  private final LongArrayList ids = new LongArrayList();
  private final LongArrayList places = new LongArrayList();
  private final DoubleArrayList sizes = new DoubleArrayList();
  private final DoubleArrayList starts = new DoubleArrayList();
  private final IntArrayList groupsAndPhases = new IntArrayList();
  private final IntArrayList free = new IntArrayList();

  /**
   * The slots of backends that drain or are gone, by identifier; the others are found in their
   * order.
   */
  private final Long2IntOpenHashMap notServing = new Long2IntOpenHashMap();

  private final OrderedSlots serving = new OrderedSlots(this::id);

  /** By the time of their start, which is positive, so that its bits have the same order. */
  private final OrderedSlots starting =
      new OrderedSlots(slot -> Double.doubleToLongBits(startedMs(slot)));

  private OrderedSlots ranked;
  private long gateway;
  private final Map<String, Zone> zones = new HashMap<>();
  private final List<Cell> cells = new ArrayList<>();

  /** Exact, so that it does not drift however many changes there are. */
  private BigDecimal total = BigDecimal.ZERO;

  /**
   * While some that have left remain: those that have not, and the first slot still to be looked
   * at.
   */
  private BitSet kept;

  private int swept;
  private double meanSize = 1;
  private boolean meanKnown = true;

  /** The backends of one zone, and its cells. */
  private final class Zone {
    final String name;
    final OrderedSlots serving = new OrderedSlots(EndpointIndex.this::id);

    /** The numbers of its cells in the list of all, by the numbers that they have here. */
    final Int2IntOpenHashMap groups = new Int2IntOpenHashMap();

    Zone(String name) {
      this.name = name;
      groups.defaultReturnValue(NONE);
    }
  }

  /** The backends of one cell of a zone, which has a number of its own there. */
  private static final class Cell {
    final Zone zone;
    final int inZone;

    /** Null until it is asked for: few cells are, and there may be tens of thousands. */
    OrderedSlots serving;

    Cell(Zone zone, int inZone) {
      this.zone = zone;
      this.inZone = inZone;
    }
  }

  /** For one gateway, whose order of ranks differs from those of others. */
  public EndpointIndex(long gateway) {
    notServing.defaultReturnValue(NONE);
    rankFor(gateway);
  }

  /** Orders the ranks anew for a gateway. */
  public void rankFor(long other) {
    gateway = other;
    ranked = new OrderedSlots(slot -> RendezvousHash.rank(id(slot), other));
    for (int i = 0; i < serving.size(); i++) {
      ranked.add(serving.get(i));
    }
  }

  public long gateway() {
    return gateway;
  }

  // ---- Finding ----

  /** The slot of a backend, or {@link #NONE}. */
  public int find(long id) {
    int slot = serving.find(id);
    return slot == NONE ? notServing.get(id) : slot;
  }

  /** All backends that serve, by identifier. */
  public OrderedSlots serving() {
    return serving;
  }

  /** The same in the gateway's own order. */
  public OrderedSlots ranked() {
    return ranked;
  }

  /** Those of them in a zone, by identifier. */
  public OrderedSlots inZone(String zone) {
    Zone found = zones.get(zone);
    return found == null ? EMPTY : found.serving;
  }

  /** Those of them in a cell of a zone, by identifier. */
  public OrderedSlots inCell(String zone, int cell) {
    Zone found = zones.get(zone);
    int group = found == null ? NONE : found.groups.get(cell);
    return group == NONE ? EMPTY : inCell(cells.get(group));
  }

  /** The first call for a cell looks through its zone. */
  private OrderedSlots inCell(Cell cell) {
    if (cell.serving == null) {
      cell.serving = new OrderedSlots(this::id);
      OrderedSlots inZone = cell.zone.serving;
      for (int i = 0; i < inZone.size(); i++) {
        int slot = inZone.get(i);
        if (cells.get(group(slot)) == cell) {
          cell.serving.add(slot);
        }
      }
    }
    return cell.serving;
  }

  @Override
  public long address(long id) {
    int slot = find(id);
    boolean serves = slot != NONE && phase(slot) == EndpointState.SERVING && !hasLeft(slot);
    return serves ? places.getLong(slot) : Endpoint.NO_ADDRESS;
  }

  @Override
  public double startedMs(long id) {
    int slot = find(id);
    return slot == NONE ? 0 : startedMs(slot);
  }

  @Override
  public boolean anyServing() {
    return serving.size() > 0;
  }

  public long id(int slot) {
    return ids.getLong(slot);
  }

  public double size(int slot) {
    return sizes.getDouble(slot);
  }

  /** When it started, as it is taken for; 0 when that was long ago. */
  public double startedMs(int slot) {
    return starts.getDouble(slot);
  }

  public EndpointState phase(int slot) {
    return PHASES[groupsAndPhases.getInt(slot) & PHASE_MASK];
  }

  /** The number of its zone and cell. */
  public int group(int slot) {
    return groupsAndPhases.getInt(slot) >>> PHASE_BITS;
  }

  public String zone(int group) {
    return cells.get(group).zone.name;
  }

  public int cell(int group) {
    return cells.get(group).inZone;
  }

  /** Whether a backend is among the first so many in the gateway's own order. */
  public boolean isAmong(int first, int slot) {
    return first > 0
        && phase(slot) == EndpointState.SERVING
        && RendezvousHash.rank(id(slot), gateway)
            <= RendezvousHash.rank(id(ranked.get(first - 1)), gateway);
  }

  /** The mean size of those that serve; 1 where none does. */
  public double meanSize() {
    if (!meanKnown) {
      meanSize = serving.size() == 0 ? 1 : total.doubleValue() / serving.size();
      meanKnown = true;
    }
    return meanSize;
  }

  /** How many of those that serve started no less than so long ago. */
  public int warm(double coldMs, double now) {
    while (starting.size() > 0 && !cold(starting.get(0), coldMs, now)) {
      starting.remove(starting.get(0));
    }
    return serving.size() - starting.size();
  }

  public boolean cold(int slot, double coldMs, double now) {
    double started = starts.getDouble(slot);
    return started > 0 && now - started < coldMs;
  }

  public int capacity() {
    return ids.size();
  }

  /** Whether a backend has this slot; a free one's group is negative. */
  public boolean isUsed(int slot) {
    return groupsAndPhases.getInt(slot) >= 0;
  }

  // ---- Changing ----

  /** The number of a zone and cell; a new one gets the next higher number, the first 0. */
  public int group(String zone, int cell) {
    Zone in = zones.get(zone);
    if (in == null) {
      in = new Zone(zone);
      zones.put(zone, in);
    }
    int known = in.groups.get(cell);
    if (known == NONE) {
      known = cells.size();
      in.groups.put(cell, known);
      cells.add(new Cell(in, cell));
    }
    return known;
  }

  /**
   * Makes room for a backend that is not known yet; it counts as removed until it is {@link #set}.
   */
  public int add(long id, int group) {
    int slot = free.isEmpty() ? appendSlot() : free.popInt();
    ids.set(slot, id);
    groupsAndPhases.set(slot, group << PHASE_BITS | EndpointState.REMOVED.ordinal());
    notServing.put(id, slot);
    return slot;
  }

  private int appendSlot() {
    int slot = ids.size();
    int capacity = ids.elements().length;
    if (slot == capacity) {
      // In place of the collections' own growth by a half.
      int more = slot + Math.max(16, slot / GROWTH);
      ids.ensureCapacity(more);
      places.ensureCapacity(more);
      sizes.ensureCapacity(more);
      starts.ensureCapacity(more);
      groupsAndPhases.ensureCapacity(more);
    }
    ids.add(0);
    places.add(Endpoint.NO_ADDRESS);
    sizes.add(0);
    starts.add(0);
    groupsAndPhases.add(-1);
    return slot;
  }

  /** Takes where it listens. */
  public void setPlace(int slot, long place) {
    places.set(slot, place);
  }

  /** Takes what is told of a backend now; coldMs is for how long it then counts as starting. */
  public void set(
      int slot,
      int group,
      EndpointState phase,
      double size,
      double startedMs,
      double coldMs,
      double now) {
    if (kept != null) {
      kept.set(slot);
    }
    boolean served = phase(slot) == EndpointState.SERVING;
    boolean serves = phase == EndpointState.SERVING;
    boolean moved = served != serves || group(slot) != group;
    if (served) {
      starting.remove(slot);
      subtract(slot);
      if (moved) {
        leaveOrders(slot);
      }
    }
    groupsAndPhases.set(slot, group << PHASE_BITS | phase.ordinal());
    sizes.set(slot, Math.min(Math.max(size, LEAST_SIZE), MOST_SIZE));
    starts.set(slot, startedMs);
    if (serves) {
      if (moved) {
        joinOrders(slot);
      }
      add(slot);
      noteStart(slot, coldMs, now);
    }
    if (!serves && served) {
      notServing.put(id(slot), slot);
    }
  }

  /**
   * All backends but those whose slots are named, and those that are told from now on, have left:
   * they do not serve any more, and {@link #sweep} removes them.
   */
  public void keepOnly(BitSet named) {
    kept = named;
    swept = 0;
  }

  /**
   * Removes up to so many of those that have left, and hands over their slots; true if any remain.
   */
  public boolean sweep(int most, IntConsumer removed) {
    int count = 0;
    while (kept != null && count < most) {
      swept = kept.nextClearBit(swept);
      if (swept >= ids.size()) {
        kept = null;
      } else if (isUsed(swept) && phase(swept) != EndpointState.REMOVED) {
        set(swept, group(swept), EndpointState.REMOVED, size(swept), startedMs(swept), 0, 0);
        removed.accept(swept);
        count++;
        swept++;
      } else {
        swept++;
      }
    }
    return kept != null;
  }

  /** Whether a backend has left, though its orders still have it. */
  public boolean hasLeft(int slot) {
    return kept != null && slot >= swept && !kept.get(slot);
  }

  /** Takes a backend for started then, whatever was told. */
  public void start(int slot, double startedMs, double coldMs, double now) {
    starting.remove(slot);
    starts.set(slot, startedMs);
    if (phase(slot) == EndpointState.SERVING) {
      noteStart(slot, coldMs, now);
    }
  }

  /** Looks anew at which backends are starting, as another time holds for that. */
  public void recountStarting(double coldMs, double now) {
    for (int i = 0; i < serving.size(); i++) {
      int slot = serving.get(i);
      starting.remove(slot);
      noteStart(slot, coldMs, now);
    }
  }

  /** Forgets a backend that does not serve; its slot is free. */
  public void remove(int slot) {
    notServing.remove(id(slot));
    groupsAndPhases.set(slot, -1);
    free.push(slot);
  }

  private void noteStart(int slot, double coldMs, double now) {
    if (cold(slot, coldMs, now)) {
      starting.add(slot);
    }
  }

  private void joinOrders(int slot) {
    notServing.remove(id(slot));
    Cell cell = cells.get(group(slot));
    serving.add(slot);
    ranked.add(slot);
    cell.zone.serving.add(slot);
    if (cell.serving != null) {
      cell.serving.add(slot);
    }
  }

  private void leaveOrders(int slot) {
    Cell cell = cells.get(group(slot));
    serving.remove(slot);
    ranked.remove(slot);
    cell.zone.serving.remove(slot);
    if (cell.serving != null) {
      cell.serving.remove(slot);
    }
  }

  private void add(int slot) {
    total = total.add(BigDecimal.valueOf(size(slot)));
    meanKnown = false;
  }

  private void subtract(int slot) {
    total = total.subtract(BigDecimal.valueOf(size(slot)));
    meanKnown = false;
  }
}
