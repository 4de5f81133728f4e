package quotagateway.endpoint;

/**
 * A set of slot numbers in the order of their keys, and of the numbers themselves where keys are
 * equal. Finding, adding, removing and reaching a slot by its position take the logarithm of the
 * size. A slot's key must not change while it is in the set. Owned by the policy's thread.
 *
 * <p>It is a B+ tree whose nodes know how many slots are below them. The leaves hold no keys, so
 * that a slot takes some six bytes; the other nodes hold the first key of each child, so that a
 * search looks up few.
 */
public final class OrderedSlots {

  /** Stands for no slot. */
  static final int NONE = -1;

  /**
   * Neighbours that hold no more than this together become one, so that a shrunken tree is small.
   */
  private static final int MAX_MERGED_ENTRIES = SlotNode.MAX_ENTRIES / 2;

  /** Gives the key of a slot. */
  interface Key {
    long of(int slot);
  }

  private final Key key;
  private SlotNode root = SlotNode.leaf();

  OrderedSlots(Key key) {
    this.key = key;
  }

  /** How many slots it holds. */
  public int size() {
    return root.count;
  }

  /** The slot at that position in the order, from 0. */
  public int get(int position) {
    if (position < 0 || position >= root.count) {
      throw new IndexOutOfBoundsException("position " + position + " of " + root.count);
    }
    SlotNode node = root;
    int remaining = position;
    while (!node.isLeaf()) {
      int child = 0;
      while (remaining >= node.children[child].count) {
        remaining -= node.children[child].count;
        child++;
      }
      node = node.children[child];
    }
    return node.slots[remaining];
  }

  /** The first slot with that key, or {@link #NONE}. */
  int find(long sought) {
    SlotNode node = root;
    int follower = NONE;
    while (!node.isLeaf()) {
      // No slot number is negative, so this is the child that begins ahead of all slots of that
      // key.
      int child = childFor(node, sought, NONE);
      if (child + 1 < node.used && node.keys[child + 1] == sought) {
        follower = node.slots[child + 1];
      }
      node = node.children[child];
    }
    int at = positionInLeaf(node, sought, NONE);
    if (at == node.used) {
      return follower;
    }
    return key.of(node.slots[at]) == sought ? node.slots[at] : NONE;
  }

  /** Adds a slot that is not in the tree. */
  void add(int slot) {
    SlotNode left = root;
    SlotNode right = add(root, slot, key.of(slot));
    if (right != null) {
      root = SlotNode.parent(left, firstKey(left));
      root.insert(1, right, firstKey(right));
    }
  }

  private SlotNode add(SlotNode node, int slot, long slotKey) {
    int at;
    if (node.isLeaf()) {
      at = positionInLeaf(node, slotKey, slot);
      node.insert(at, slot);
    } else {
      at = childFor(node, slotKey, slot);
      SlotNode right = add(node.children[at], slot, slotKey);
      node.count++;
      updateFirst(node, at);
      if (right != null) {
        node.count -= right.count;
        at++;
        node.insert(at, right, firstKey(right));
      }
    }
    if (node.used <= SlotNode.MAX_ENTRIES) {
      return null;
    }
    // What is added in order leaves full nodes behind.
    return node.split(at == node.used - 1 ? SlotNode.MAX_ENTRIES : SlotNode.MAX_ENTRIES / 2);
  }

  /** Removes a slot; false where it is not in the tree. */
  boolean remove(int slot) {
    boolean removed = remove(root, slot, key.of(slot));
    while (!root.isLeaf() && root.used == 1) {
      root = root.children[0];
    }
    return removed;
  }

  private boolean remove(SlotNode node, int slot, long slotKey) {
    if (node.isLeaf()) {
      int at = positionInLeaf(node, slotKey, slot);
      if (at == node.used || node.slots[at] != slot) {
        return false;
      }
      node.removeSlot(at);
      return true;
    }
    int at = childFor(node, slotKey, slot);
    if (!remove(node.children[at], slot, slotKey)) {
      return false;
    }
    node.count--;
    if (node.children[at].used == 0) {
      node.removeChild(at);
    } else {
      updateFirst(node, at);
      if (at > 0) {
        merge(node, at - 1);
      } else if (node.used > 1) {
        merge(node, 0);
      }
    }
    return true;
  }

  /** Merges a child with its right neighbour, if they are small enough. */
  private static void merge(SlotNode node, int left) {
    SlotNode right = node.children[left + 1];
    if (node.children[left].used + right.used <= MAX_MERGED_ENTRIES) {
      node.removeChild(left + 1);
      node.children[left].append(right);
      node.count += right.count;
    }
  }

  private long firstKey(SlotNode node) {
    return node.isLeaf() ? key.of(node.slots[0]) : node.keys[0];
  }

  /** Takes over the first slot and key of a child, which may have changed. */
  private void updateFirst(SlotNode node, int at) {
    SlotNode child = node.children[at];
    if (node.slots[at] != child.slots[0]) {
      node.slots[at] = child.slots[0];
      node.keys[at] = firstKey(child);
    }
  }

  /** Where in a leaf the slot is or would be. */
  private int positionInLeaf(SlotNode leaf, long slotKey, int slot) {
    int low = 0;
    int high = leaf.used;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (before(key.of(leaf.slots[middle]), leaf.slots[middle], slotKey, slot)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** The last child that begins no later than the slot, or the first. */
  private static int childFor(SlotNode node, long slotKey, int slot) {
    int low = 0;
    int high = node.used - 1;
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      if (before(slotKey, slot, node.keys[middle], node.slots[middle])) {
        high = middle - 1;
      } else {
        low = middle;
      }
    }
    return low;
  }

  private static boolean before(long key, int slot, long otherKey, int otherSlot) {
    return key < otherKey || (key == otherKey && slot < otherSlot);
  }
}
