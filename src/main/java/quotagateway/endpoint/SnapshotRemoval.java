package quotagateway.endpoint;

import java.util.BitSet;

/**
 * Finds the endpoints that a snapshot of the list did not name, from the first slot to the last, in
 * as many goes as the caller likes. Owned by the policy's thread.
 */
final class SnapshotRemoval {

  /** Slots that the snapshot or a later message named; null where no removal is under way. */
  private BitSet kept;

  /** All slots before this one have been looked at. */
  private int nextSlot;

  /** Begins: all endpoints but those with these slots have left. */
  void begin(BitSet namedSlots) {
    kept = namedSlots;
    nextSlot = 0;
  }

  boolean isUnderWay() {
    return kept != null;
  }

  /** An endpoint was named by a message after the snapshot: it stays. */
  void keep(int slot) {
    if (kept != null) {
      kept.set(slot);
    }
  }

  /** Whether an endpoint has left and was not looked at yet. */
  boolean isPending(int slot) {
    return kept != null && slot >= nextSlot && !kept.get(slot);
  }

  /**
   * The next slot that was not named, or {@link OrderedSlots#NONE} at the end.
   *
   * @param capacity how many slots there are
   */
  int next(int capacity) {
    int slot = kept.nextClearBit(nextSlot);
    if (slot >= capacity) {
      kept = null;
      return OrderedSlots.NONE;
    }
    nextSlot = slot + 1;
    return slot;
  }
}
