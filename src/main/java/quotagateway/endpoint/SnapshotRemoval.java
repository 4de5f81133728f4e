package quotagateway.endpoint;

import java.util.BitSet;

/**
 * Finds the endpoints that a snapshot of the list did not contain, from the first slot to the last.
 * The caller can spread the scan over several calls. Owned by the policy's thread.
 */
final class SnapshotRemoval {

  /** Slots in the snapshot or a later update; null if no removal is in progress. */
  private BitSet keptSlots;

  /** The next slot to check. */
  private int nextSlot;

  /** Starts the removal of all endpoints except those with the given slots. */
  void begin(BitSet listedSlots) {
    keptSlots = listedSlots;
    nextSlot = 0;
  }

  boolean isInProgress() {
    return keptSlots != null;
  }

  /** Keeps an endpoint that an update after the snapshot contains. */
  void keep(int slot) {
    if (keptSlots != null) {
      keptSlots.set(slot);
    }
  }

  /** Returns whether a slot is to be removed and has not been checked yet. */
  boolean isPending(int slot) {
    return keptSlots != null && slot >= nextSlot && !keptSlots.get(slot);
  }

  /**
   * Returns the next slot to remove, or {@link OrderedSlots#NONE} at the end.
   *
   * @param capacity the number of slots
   */
  int next(int capacity) {
    int slot = keptSlots.nextClearBit(nextSlot);
    if (slot >= capacity) {
      keptSlots = null;
      return OrderedSlots.NONE;
    }
    nextSlot = slot + 1;
    return slot;
  }
}
