package quotagateway.endpoint;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.longs.LongArrayList;

/**
 * What is known of each endpoint, one column for each property and a few dozen bytes for each
 * endpoint, so that tens of thousands of them fit. An endpoint is known by its slot, which is free
 * for another one once it is removed. Owned by the policy's thread.
 */
final class EndpointColumns {

  /** The columns grow by this part of their length: little is left unused. */
  private static final int GROWTH_DIVISOR = 32;

  /** A short column grows by so many at least. */
  private static final int MIN_GROWTH = 16;

  /** The low bits of an entry in the column of groups are its state. */
  private static final int STATE_BITS = 2;

  private static final int STATE_MASK = (1 << STATE_BITS) - 1;

  /** Negative, as no group is. */
  private static final int FREE_SLOT = -1;

  private static final EndpointState[] STATES = EndpointState.values();

  private final LongArrayList ids = new LongArrayList();
  private final LongArrayList addresses = new LongArrayList();
  private final DoubleArrayList weights = new DoubleArrayList();
  private final DoubleArrayList startTimesMs = new DoubleArrayList();
  private final IntArrayList groupsAndStates = new IntArrayList();
  private final IntArrayList freeSlots = new IntArrayList();

  /** How many slots there are, free ones included. */
  int capacity() {
    return ids.size();
  }

  /** Whether an endpoint has this slot. */
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

  /** The state is packed by its ordinal, which never leaves this class. */
  @SuppressWarnings("EnumOrdinal")
  void setGroupAndState(int slot, int group, EndpointState state) {
    groupsAndStates.set(slot, group << STATE_BITS | state.ordinal());
  }

  /** Gives a slot to an endpoint, whose other properties are still to be set. */
  int allocate(long id) {
    int slot = freeSlots.isEmpty() ? append() : freeSlots.popInt();
    ids.set(slot, id);
    return slot;
  }

  /** Takes the slot from its endpoint. */
  void release(int slot) {
    groupsAndStates.set(slot, FREE_SLOT);
    freeSlots.push(slot);
  }

  private int append() {
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

  /** In place of the collections' own growth by a half, which would leave much unused. */
  private void grow(int capacity) {
    ids.ensureCapacity(capacity);
    addresses.ensureCapacity(capacity);
    weights.ensureCapacity(capacity);
    startTimesMs.ensureCapacity(capacity);
    groupsAndStates.ensureCapacity(capacity);
  }
}
