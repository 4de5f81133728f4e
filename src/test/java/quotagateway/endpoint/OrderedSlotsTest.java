package quotagateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the tree of slots with a sorted list. */
class OrderedSlotsTest {

  private static final int SLOTS = 20_000;

  private final SplittableRandom random = new SplittableRandom(3);
  private final OrderedSlots tree = new OrderedSlots(OrderedSlotsTest::key);
  private final List<Integer> expected = new ArrayList<>();

  /** Maps each group of three consecutive slots to one key. */
  private static long key(int slot) {
    return (slot / 3) * 0x9E3779B97F4A7C15L;
  }

  private static int compare(int a, int b) {
    return key(a) != key(b) ? Long.compare(key(a), key(b)) : Integer.compare(a, b);
  }

  /** Compares a slot with the position just before the first slot with the next key. */
  private static int compareToStartOfNextKey(int slot, int previousSlot) {
    return key(slot) < key(previousSlot + 1) ? -1 : 1;
  }

  private void toggle(int slot) {
    int position = Collections.binarySearch(expected, slot, OrderedSlotsTest::compare);
    if (position >= 0) {
      expected.remove(position);
      assertTrue(tree.remove(slot));
      assertFalse(tree.remove(slot));
    } else {
      expected.add(-position - 1, slot);
      tree.add(slot);
    }
  }

  private void assertSameSlots() {
    assertEquals(expected.size(), tree.size());
    for (int i = 0; i < expected.size(); i++) {
      assertEquals(expected.get(i), tree.get(i));
    }
    for (int i = 0; i < SLOTS; i++) {
      int first =
          -Collections.binarySearch(
                  expected, i / 3 * 3 - 1, OrderedSlotsTest::compareToStartOfNextKey)
              - 1;
      boolean present = first < expected.size() && key(expected.get(first)) == key(i);
      assertEquals(present ? expected.get(first) : OrderedSlots.NONE, tree.find(key(i)));
    }
    assertThrows(IndexOutOfBoundsException.class, () -> tree.get(expected.size()));
    assertThrows(IndexOutOfBoundsException.class, () -> tree.get(-1));
  }

  @Test
  void matchesSortedListWhileGrowingAndShrinking() {
    assertSameSlots();
    for (int round = 0; round < 4; round++) {
      for (int i = 0; i < SLOTS; i++) {
        toggle(random.nextInt(SLOTS));
      }
      assertSameSlots();
      while (expected.size() > 50 * round) {
        toggle(expected.get(random.nextInt(expected.size())));
      }
      assertSameSlots();
    }
  }

  @Test
  void addsAndRemovesSlotsInAscendingAndDescendingOrder() {
    OrderedSlots ascending = new OrderedSlots(slot -> slot);
    OrderedSlots descending = new OrderedSlots(slot -> -slot);
    for (int i = 0; i < SLOTS; i++) {
      ascending.add(i);
      descending.add(i);
    }
    for (int i = 0; i < SLOTS; i++) {
      assertEquals(i, ascending.get(i));
      assertEquals(SLOTS - 1 - i, descending.get(i));
    }
    for (int i = 0; i < SLOTS; i++) {
      assertTrue(ascending.remove(i));
      assertTrue(descending.remove(i));
    }
    assertEquals(0, ascending.size() + descending.size());
  }
}
