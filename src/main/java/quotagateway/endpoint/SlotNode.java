package quotagateway.endpoint;

import java.util.Arrays;

/**
 * A node of the tree of {@link OrderedSlots}: an array list that knows how many slots are below it.
 * It keeps no order of its own. Owned by the policy's thread.
 */
final class SlotNode {

  /**
   * Entries of a node: a small share of an entry's cost is the node's own, and moving them is
   * cheap.
   */
  static final int MAX_ENTRIES = 128;

  private static final int INITIAL_CAPACITY = 4;

  /** A node grows by so many entries at most, and is cut to what it holds at a split. */
  private static final int MAX_GROWTH = 16;

  /** Of a leaf, its slots; of any other node, the first slot below each child. */
  int[] slots;

  /** The keys of those first slots; null in a leaf. */
  long[] keys;

  /** Null in a leaf. */
  SlotNode[] children;

  /** Entries in use of the arrays above. */
  int used;

  /** Slots in this node and all below it. */
  int count;

  private SlotNode() {}

  /** An empty leaf. */
  static SlotNode leaf() {
    SlotNode leaf = new SlotNode();
    leaf.slots = new int[INITIAL_CAPACITY];
    return leaf;
  }

  /** A node with one child, whose first slot has that key. */
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
  void insert(int at, int slot) {
    if (used == slots.length) {
      slots = Arrays.copyOf(slots, grownCapacity());
    }
    System.arraycopy(slots, at, slots, at + 1, used - at);
    slots[at] = slot;
    used++;
    count++;
  }

  /** Inserts a child, whose first slot has that key, into a node that is no leaf. */
  void insert(int at, SlotNode child, long key) {
    if (used == children.length) {
      int capacity = grownCapacity();
      slots = Arrays.copyOf(slots, capacity);
      keys = Arrays.copyOf(keys, capacity);
      children = Arrays.copyOf(children, capacity);
    }
    System.arraycopy(slots, at, slots, at + 1, used - at);
    System.arraycopy(keys, at, keys, at + 1, used - at);
    System.arraycopy(children, at, children, at + 1, used - at);
    slots[at] = child.slots[0];
    keys[at] = key;
    children[at] = child;
    used++;
    count += child.count;
  }

  /** Removes a slot from a leaf. */
  void removeSlot(int at) {
    used--;
    count--;
    System.arraycopy(slots, at + 1, slots, at, used - at);
  }

  /** Removes a child with all slots below it. */
  void removeChild(int at) {
    count -= children[at].count;
    used--;
    System.arraycopy(slots, at + 1, slots, at, used - at);
    System.arraycopy(keys, at + 1, keys, at, used - at);
    System.arraycopy(children, at + 1, children, at, used - at);
    children[used] = null;
  }

  private int grownCapacity() {
    return Math.min(Math.min(2 * used, used + MAX_GROWTH), MAX_ENTRIES + 1);
  }

  /** Keeps so many entries, and gives a node with the others. */
  SlotNode split(int keep) {
    SlotNode right = new SlotNode();
    int end = Math.max(used, keep + INITIAL_CAPACITY);
    right.slots = Arrays.copyOfRange(slots, keep, end);
    slots = Arrays.copyOf(slots, keep);
    right.used = used - keep;
    right.count = right.used;
    if (!isLeaf()) {
      right.keys = Arrays.copyOfRange(keys, keep, end);
      keys = Arrays.copyOf(keys, keep);
      right.children = Arrays.copyOfRange(children, keep, end);
      children = Arrays.copyOf(children, keep);
      right.count = right.countOfChildren();
    }
    used = keep;
    count -= right.count;
    return right;
  }

  private int countOfChildren() {
    int sum = 0;
    for (int i = 0; i < used; i++) {
      sum += children[i].count;
    }
    return sum;
  }

  /** Takes all entries of its right neighbour. */
  void append(SlotNode right) {
    int capacity = Math.max(slots.length, used + right.used);
    slots = Arrays.copyOf(slots, capacity);
    System.arraycopy(right.slots, 0, slots, used, right.used);
    if (!isLeaf()) {
      keys = Arrays.copyOf(keys, capacity);
      System.arraycopy(right.keys, 0, keys, used, right.used);
      children = Arrays.copyOf(children, capacity);
      System.arraycopy(right.children, 0, children, used, right.used);
    }
    used += right.used;
    count += right.count;
  }
}
