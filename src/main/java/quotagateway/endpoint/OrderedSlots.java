package quotagateway.endpoint;

/**
 * A set of slots, ordered by key and then by slot number. Finding, adding and removing a slot, and
 * getting a slot by position, take time logarithmic in the size. The key of a slot must not change
 * while the slot is in the set. Owned by the policy's thread.
 *
 * <p>The set is a B+ tree whose nodes store the number of slots in their subtrees. Leaves store no
 * keys, so that a slot takes about six bytes. Inner nodes store the first key of each child, so
 * that a search looks up few keys.
 */
public final class OrderedSlots {

  /** Denotes the absence of a slot. */
  static final int NONE = -1;

  /**
   * Neighboring nodes with at most this many entries in total are merged, so that a tree that
   * shrinks frees memory.
   */
  private static final int MAX_MERGED_ENTRIES = SlotNode.MAX_ENTRIES / 2;

  /** Provides the key of a slot. */
  interface Key {
    long of(int slot);
  }

  private final Key key;
  private SlotNode root = SlotNode.leaf();

  OrderedSlots(Key key) {
    this.key = key;
  }

  /** Returns the number of slots. */
  public int size() {
    return root.slotCount;
  }

  /** Returns the slot at a position in the order, starting at 0. */
  public int get(int position) {
    if (position < 0 || position >= root.slotCount) {
      throw new IndexOutOfBoundsException("position " + position + " of " + root.slotCount);
    }
    SlotNode node = root;
    int remaining = position;
    while (!node.isLeaf()) {
      int child = 0;
      while (remaining >= node.children[child].slotCount) {
        remaining -= node.children[child].slotCount;
        child++;
      }
      node = node.children[child];
    }
    return node.slots[remaining];
  }

  /** Returns the first slot with the given key, or {@link #NONE}. */
  int find(long targetKey) {
    SlotNode node = root;
    int firstOfNextChild = NONE;
    while (!node.isLeaf()) {
      // NONE is below every slot number, so this child starts before all slots with the key.
      int child = childPosition(node, targetKey, NONE);
      if (child + 1 < node.entryCount && node.keys[child + 1] == targetKey) {
        firstOfNextChild = node.slots[child + 1];
      }
      node = node.children[child];
    }
    int position = positionInLeaf(node, targetKey, NONE);
    if (position == node.entryCount) {
      return firstOfNextChild;
    }
    return key.of(node.slots[position]) == targetKey ? node.slots[position] : NONE;
  }

  /** Adds a slot that is not in the set. */
  void add(int slot) {
    SlotNode left = root;
    SlotNode right = add(root, slot, key.of(slot));
    if (right != null) {
      root = SlotNode.parent(left, firstKey(left));
      root.insert(1, right, firstKey(right));
    }
  }

  private SlotNode add(SlotNode node, int slot, long slotKey) {
    int position;
    if (node.isLeaf()) {
      position = positionInLeaf(node, slotKey, slot);
      node.insert(position, slot);
    } else {
      position = childPosition(node, slotKey, slot);
      SlotNode right = add(node.children[position], slot, slotKey);
      node.slotCount++;
      updateFirstSlot(node, position);
      if (right != null) {
        node.slotCount -= right.slotCount;
        position++;
        node.insert(position, right, firstKey(right));
      }
    }
    if (node.entryCount <= SlotNode.MAX_ENTRIES) {
      return null;
    }
    // A split at the last entry leaves full nodes if slots are added in ascending order.
    return node.split(
        position == node.entryCount - 1 ? SlotNode.MAX_ENTRIES : SlotNode.MAX_ENTRIES / 2);
  }

  /** Removes a slot. Returns false if the slot is not in the set. */
  boolean remove(int slot) {
    boolean removed = remove(root, slot, key.of(slot));
    while (!root.isLeaf() && root.entryCount == 1) {
      root = root.children[0];
    }
    return removed;
  }

  private boolean remove(SlotNode node, int slot, long slotKey) {
    if (node.isLeaf()) {
      int position = positionInLeaf(node, slotKey, slot);
      if (position == node.entryCount || node.slots[position] != slot) {
        return false;
      }
      node.removeSlot(position);
      return true;
    }
    int position = childPosition(node, slotKey, slot);
    if (!remove(node.children[position], slot, slotKey)) {
      return false;
    }
    node.slotCount--;
    if (node.children[position].entryCount == 0) {
      node.removeChild(position);
    } else {
      updateFirstSlot(node, position);
      if (position > 0) {
        merge(node, position - 1);
      } else if (node.entryCount > 1) {
        merge(node, 0);
      }
    }
    return true;
  }

  /** Merges a child with its right neighbor if they are small enough. */
  private static void merge(SlotNode node, int leftAt) {
    SlotNode right = node.children[leftAt + 1];
    if (node.children[leftAt].entryCount + right.entryCount <= MAX_MERGED_ENTRIES) {
      node.removeChild(leftAt + 1);
      node.children[leftAt].append(right);
      node.slotCount += right.slotCount;
    }
  }

  private long firstKey(SlotNode node) {
    return node.isLeaf() ? key.of(node.slots[0]) : node.keys[0];
  }

  /** Updates the entry of a child whose first slot and key may have changed. */
  private void updateFirstSlot(SlotNode node, int position) {
    SlotNode child = node.children[position];
    if (node.slots[position] != child.slots[0]) {
      node.slots[position] = child.slots[0];
      node.keys[position] = firstKey(child);
    }
  }

  /** Returns the position in a leaf at which the slot is or would be inserted. */
  private int positionInLeaf(SlotNode leaf, long slotKey, int slot) {
    int low = 0;
    int high = leaf.entryCount;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (isBefore(key.of(leaf.slots[middle]), leaf.slots[middle], slotKey, slot)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** Returns the position of the last child that starts at or before the slot, or else 0. */
  private static int childPosition(SlotNode node, long slotKey, int slot) {
    int low = 0;
    int high = node.entryCount - 1;
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      if (isBefore(slotKey, slot, node.keys[middle], node.slots[middle])) {
        high = middle - 1;
      } else {
        low = middle;
      }
    }
    return low;
  }

  private static boolean isBefore(long key, int slot, long otherKey, int otherSlot) {
    return key < otherKey || (key == otherKey && slot < otherSlot);
  }
}
