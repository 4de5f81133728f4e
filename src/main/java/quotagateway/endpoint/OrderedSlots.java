package quotagateway.endpoint;

import java.util.Arrays;

/**
 * Slot numbers in the order of their keys, and of the numbers themselves where those are equal;
 * each found, added, removed and reached by its place in the logarithm of their number. A B+ tree
 * whose nodes know how many slots they hold. A slot's key must not change while it is in the tree.
 * Some six bytes a slot, as the leaves hold no keys; the other nodes hold the first of each child,
 * so that a search looks up few.
 */
public final class OrderedSlots {

  static final int NONE = -1;

  /**
   * Entries of a node: a small share of an entry's cost is the node's own, and moving them is
   * cheap.
   */
  private static final int MOST = 128;

  /**
   * Neighbours that hold no more than this together become one, so that a shrunken tree is small.
   */
  private static final int MERGED = MOST / 2;

  private static final int FIRST_CAPACITY = 4;

  /**
   * A node grows by so many entries at most, and is cut to what it holds at a split: little is
   * unused.
   */
  private static final int MOST_GROWTH = 16;

  /** Gives the key of a slot. */
  interface Key {
    long of(int slot);
  }

  /** A leaf has slots; any other node has children, and the first slot of each with its key. */
  private static final class Node {
    int[] slots;
    long[] keys;
    Node[] children;
    int used;
    int count;

    static Node leaf() {
      Node leaf = new Node();
      leaf.slots = new int[FIRST_CAPACITY];
      return leaf;
    }

    static Node parent(Node child, long key) {
      Node parent = new Node();
      parent.slots = new int[FIRST_CAPACITY];
      parent.keys = new long[FIRST_CAPACITY];
      parent.children = new Node[FIRST_CAPACITY];
      parent.insert(0, child, key);
      return parent;
    }

    boolean isLeaf() {
      return children == null;
    }

    void insert(int at, int slot) {
      if (used == slots.length) {
        slots = Arrays.copyOf(slots, grown());
      }
      System.arraycopy(slots, at, slots, at + 1, used - at);
      slots[at] = slot;
      used++;
      count++;
    }

    void insert(int at, Node child, long key) {
      if (used == children.length) {
        int capacity = grown();
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

    void removeChild(int at) {
      count -= children[at].count;
      used--;
      System.arraycopy(slots, at + 1, slots, at, used - at);
      System.arraycopy(keys, at + 1, keys, at, used - at);
      System.arraycopy(children, at + 1, children, at, used - at);
      children[used] = null;
    }

    private int grown() {
      return Math.min(Math.min(2 * used, used + MOST_GROWTH), MOST + 1);
    }

    /** Keeps so many entries and gives a node with the others. */
    Node split(int keep) {
      Node right = new Node();
      int end = Math.max(used, keep + FIRST_CAPACITY);
      right.slots = Arrays.copyOfRange(slots, keep, end);
      slots = Arrays.copyOf(slots, keep);
      right.used = used - keep;
      right.count = right.used;
      if (!isLeaf()) {
        right.keys = Arrays.copyOfRange(keys, keep, end);
        keys = Arrays.copyOf(keys, keep);
        right.children = Arrays.copyOfRange(children, keep, end);
        children = Arrays.copyOf(children, keep);
        right.count = right.sum();
      }
      used = keep;
      count -= right.count;
      return right;
    }

    private int sum() {
      int sum = 0;
      for (int i = 0; i < used; i++) {
        sum += children[i].count;
      }
      return sum;
    }

    /** Takes all entries of its right neighbour. */
    void append(Node right) {
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

  private final Key key;
  private Node root = Node.leaf();

  OrderedSlots(Key key) {
    this.key = key;
  }

  public int size() {
    return root.count;
  }

  /** The slot at that place in the order. */
  public int get(int place) {
    if (place < 0 || place >= root.count) {
      throw new IndexOutOfBoundsException("place " + place + " of " + root.count);
    }
    Node node = root;
    int left = place;
    while (!node.isLeaf()) {
      int child = 0;
      while (left >= node.children[child].count) {
        left -= node.children[child].count;
        child++;
      }
      node = node.children[child];
    }
    return node.slots[left];
  }

  /** The first slot with that key, or {@link #NONE}. */
  int find(long sought) {
    Node node = root;
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
    int at = placeIn(node, sought, NONE);
    if (at == node.used) {
      return follower;
    }
    return key.of(node.slots[at]) == sought ? node.slots[at] : NONE;
  }

  /** Adds a slot that is not in the tree. */
  void add(int slot) {
    Node left = root;
    Node right = add(root, slot, key.of(slot));
    if (right != null) {
      root = Node.parent(left, firstKey(left));
      root.insert(1, right, firstKey(right));
    }
  }

  private Node add(Node node, int slot, long slotKey) {
    int at;
    if (node.isLeaf()) {
      at = placeIn(node, slotKey, slot);
      node.insert(at, slot);
    } else {
      at = childFor(node, slotKey, slot);
      Node right = add(node.children[at], slot, slotKey);
      node.count++;
      noteFirst(node, at);
      if (right != null) {
        node.count -= right.count;
        at++;
        node.insert(at, right, firstKey(right));
      }
    }
    if (node.used <= MOST) {
      return null;
    }
    // What is added in order leaves full nodes behind.
    return node.split(at == node.used - 1 ? MOST : MOST / 2);
  }

  /** Removes a slot; false where it is not in the tree. */
  boolean remove(int slot) {
    boolean removed = remove(root, slot, key.of(slot));
    while (!root.isLeaf() && root.used == 1) {
      root = root.children[0];
    }
    return removed;
  }

  private boolean remove(Node node, int slot, long slotKey) {
    if (node.isLeaf()) {
      int at = placeIn(node, slotKey, slot);
      if (at == node.used || node.slots[at] != slot) {
        return false;
      }
      node.used--;
      node.count--;
      System.arraycopy(node.slots, at + 1, node.slots, at, node.used - at);
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
      noteFirst(node, at);
      if (at > 0) {
        merge(node, at - 1);
      } else if (node.used > 1) {
        merge(node, 0);
      }
    }
    return true;
  }

  private static void merge(Node node, int left) {
    Node right = node.children[left + 1];
    if (node.children[left].used + right.used <= MERGED) {
      node.removeChild(left + 1);
      node.children[left].append(right);
      node.count += right.count;
    }
  }

  private long firstKey(Node node) {
    return node.isLeaf() ? key.of(node.slots[0]) : node.keys[0];
  }

  /** Takes over the first slot of a child, as it may have changed. */
  private void noteFirst(Node node, int at) {
    Node child = node.children[at];
    if (node.slots[at] != child.slots[0]) {
      node.slots[at] = child.slots[0];
      node.keys[at] = firstKey(child);
    }
  }

  /** Where in a leaf the slot is or would be. */
  private int placeIn(Node leaf, long slotKey, int slot) {
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
  private static int childFor(Node node, long slotKey, int slot) {
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
    return key < otherKey || key == otherKey && slot < otherSlot;
  }
}
