package quotagateway.endpoint;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.longs.LongArrayList;

/**
 * The properties of all endpoints, stored in one column for each property. An endpoint takes a few
 * dozen bytes, so that tens of thousands of them fit into memory. An endpoint is identified by its
 * slot, which is reused after the endpoint is removed. Owned by the policy's thread.
 */
final class EndpointColumns {

  /** The columns grow by their length divided by this number, so that little capacity is unused. */
  private static final int GROWTH_DIVISOR = 32;

  /** Avoids frequent growth of short columns. */
  private static final int MIN_GROWTH = 16;

  /** Number of low bits that hold the state in an entry of {@link #groupsAndStates}. */
  private static final int STATE_BITS = 2;

  private static final int STATE_MASK = (1 << STATE_BITS) - 1;

  /** Marks a free slot; negative, because no packed group and state is negative. */
  private static final int FREE_SLOT = -1;

  private static final EndpointState[] STATES = EndpointState.values();

  private final LongArrayList ids = new LongArrayList();
  private final LongArrayList addresses = new LongArrayList();
  private final DoubleArrayList weights = new DoubleArrayList();
  private final DoubleArrayList startTimesMs = new DoubleArrayList();
  private final IntArrayList groupsAndStates = new IntArrayList();
  private final IntArrayList freeSlots = new IntArrayList();

  /** Returns the number of slots, including free ones. */
  int capacity() {
    return ids.size();
  }

  /** Returns whether the slot belongs to an endpoint. */
  boolean isUsed(int slot) {
    return groupsAndStates.getInt(slot) >= 0;
  }

  long id(int slot) {
    return ids.getLong(slot);
  }

  long address(int slot) {
    return addresses.getLong(slot);
  }

  void setAddress(int slot, long address) {
    addresses.set(slot, address);
  }

  double weight(int slot) {
    return weights.getDouble(slot);
  }

  void setWeight(int slot, double weight) {
    weights.set(slot, weight);
  }

  double startedMs(int slot) {
    return startTimesMs.getDouble(slot);
  }

  void setStartedMs(int slot, double startedMs) {
    startTimesMs.set(slot, startedMs);
  }

  int group(int slot) {
    return groupsAndStates.getInt(slot) >>> STATE_BITS;
  }

  EndpointState state(int slot) {
    return STATES[groupsAndStates.getInt(slot) & STATE_MASK];
  }

  /**
   * Sets the group and state. The state is stored as its ordinal, which is private to this class.
   */
  @SuppressWarnings("EnumOrdinal")
  void setGroupAndState(int slot, int group, EndpointState state) {
    groupsAndStates.set(slot, group << STATE_BITS | state.ordinal());
  }

  /** Allocates a slot for an endpoint. The caller sets the other properties of the endpoint. */
  int allocate(long id) {
    int slot = freeSlots.isEmpty() ? appendSlot() : freeSlots.popInt();
    ids.set(slot, id);
    return slot;
  }

  /** Frees the slot of a removed endpoint. */
  void release(int slot) {
    groupsAndStates.set(slot, FREE_SLOT);
    freeSlots.push(slot);
  }

  private int appendSlot() {
    int slot = ids.size();
    if (slot == ids.elements().length) {
      grow(slot + Math.max(MIN_GROWTH, slot / GROWTH_DIVISOR));
    }
    ids.add(0);
    addresses.add(Endpoint.NO_ADDRESS);
    weights.add(0);
    startTimesMs.add(0);
    groupsAndStates.add(FREE_SLOT);
    return slot;
  }

  /** Grows the columns, because the lists would grow by half and leave much capacity unused. */
  private void grow(int capacity) {
    ids.ensureCapacity(capacity);
    addresses.ensureCapacity(capacity);
    weights.ensureCapacity(capacity);
    startTimesMs.ensureCapacity(capacity);
    groupsAndStates.ensureCapacity(capacity);
  }
}
