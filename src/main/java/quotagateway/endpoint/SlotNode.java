package quotagateway.endpoint;

import java.util.Arrays;

/**
 * A node of the tree of {@link OrderedSlots}: array lists of entries, and the number of slots in
 * the subtree. The caller keeps the entries in order. Owned by the policy's thread.
 */
final class SlotNode {

  /**
   * Maximum number of entries of a node: enough to make the node's own overhead for each entry
   * small, and few enough to make moving entries cheap.
   */
  static final int MAX_ENTRIES = 128;

  private static final int INITIAL_CAPACITY = 4;

  /** Limits the unused capacity of a node; a split also trims the left node to its entries. */
  private static final int MAX_GROWTH = 16;

  /** The slots of a leaf, or the first slot in the subtree of each child of an inner node. */
  int[] slots;

  /** The keys of the first slots of the children; null in a leaf. */
  long[] keys;

  /** The children of an inner node; null in a leaf. */
  SlotNode[] children;

  /** Number of entries in use in the arrays above. */
  int entryCount;

  /** Number of slots in the subtree of this node. */
  int slotCount;

  private SlotNode() {}

  /** Creates an empty leaf. */
  static SlotNode leaf() {
    SlotNode leaf = new SlotNode();
    leaf.slots = new int[INITIAL_CAPACITY];
    return leaf;
  }

  /** Creates an inner node with one child, whose first slot has the given key. */
  static SlotNode parent(SlotNode child, long key) {
    SlotNode parent = new SlotNode();
    parent.slots = new int[INITIAL_CAPACITY];
    parent.keys = new long[INITIAL_CAPACITY];
    parent.children = new SlotNode[INITIAL_CAPACITY];
    parent.insert(0, child, key);
    return parent;
  }

  boolean isLeaf() {
    return children == null;
  }

  /** Inserts a slot into a leaf. */
  void insert(int position, int slot) {
    if (entryCount == slots.length) {
      slots = Arrays.copyOf(slots, grownCapacity());
    }
    System.arraycopy(slots, position, slots, position + 1, entryCount - position);
    slots[position] = slot;
    entryCount++;
    slotCount++;
  }

  /** Inserts a child, whose first slot has the given key, into an inner node. */
  void insert(int position, SlotNode child, long key) {
    if (entryCount == children.length) {
      int capacity = grownCapacity();
      slots = Arrays.copyOf(slots, capacity);
      keys = Arrays.copyOf(keys, capacity);
      children = Arrays.copyOf(children, capacity);
    }
    System.arraycopy(slots, position, slots, position + 1, entryCount - position);
    System.arraycopy(keys, position, keys, position + 1, entryCount - position);
    System.arraycopy(children, position, children, position + 1, entryCount - position);
    slots[position] = child.slots[0];
    keys[position] = key;
    children[position] = child;
    entryCount++;
    slotCount += child.slotCount;
  }

  /** Removes a slot from a leaf. */
  void removeSlot(int position) {
    entryCount--;
    slotCount--;
    System.arraycopy(slots, position + 1, slots, position, entryCount - position);
  }

  /** Removes a child and all slots in its subtree. */
  void removeChild(int position) {
    slotCount -= children[position].slotCount;
    entryCount--;
    System.arraycopy(slots, position + 1, slots, position, entryCount - position);
    System.arraycopy(keys, position + 1, keys, position, entryCount - position);
    System.arraycopy(children, position + 1, children, position, entryCount - position);
    children[entryCount] = null;
  }

  private int grownCapacity() {
    return Math.min(Math.min(2 * entryCount, entryCount + MAX_GROWTH), MAX_ENTRIES + 1);
  }

  /** Keeps the first {@code keptCount} entries, and returns a new node with the others. */
  SlotNode split(int keptCount) {
    SlotNode right = new SlotNode();
    int end = Math.max(entryCount, keptCount + INITIAL_CAPACITY);
    right.slots = Arrays.copyOfRange(slots, keptCount, end);
    slots = Arrays.copyOf(slots, keptCount);
    right.entryCount = entryCount - keptCount;
    right.slotCount = right.entryCount;
    if (!isLeaf()) {
      right.keys = Arrays.copyOfRange(keys, keptCount, end);
      keys = Arrays.copyOf(keys, keptCount);
      right.children = Arrays.copyOfRange(children, keptCount, end);
      children = Arrays.copyOf(children, keptCount);
      right.slotCount = right.sumOfChildSlotCounts();
    }
    entryCount = keptCount;
    slotCount -= right.slotCount;
    return right;
  }

  private int sumOfChildSlotCounts() {
    int sum = 0;
    for (int i = 0; i < entryCount; i++) {
      sum += children[i].slotCount;
    }
    return sum;
  }

  /** Appends all entries of the right neighbor. */
  void append(SlotNode right) {
    int capacity = Math.max(slots.length, entryCount + right.entryCount);
    slots = Arrays.copyOf(slots, capacity);
    System.arraycopy(right.slots, 0, slots, entryCount, right.entryCount);
    if (!isLeaf()) {
      keys = Arrays.copyOf(keys, capacity);
      System.arraycopy(right.keys, 0, keys, entryCount, right.entryCount);
      children = Arrays.copyOf(children, capacity);
      System.arraycopy(right.children, 0, children, entryCount, right.entryCount);
    }
    entryCount += right.entryCount;
    slotCount += right.slotCount;
  }
}
