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

/** The tree of slots against a plain sorted list. */
class OrderedSlotsTest {

  private static final int SLOTS = 20_000;

  private final SplittableRandom random = new SplittableRandom(3);
  private final OrderedSlots tree = new OrderedSlots(OrderedSlotsTest::key);
  private final List<Integer> plain = new ArrayList<>();

  /** One key for each three slots. */
  private static long key(int slot) {
    return (slot / 3) * 0x9E3779B97F4A7C15L;
  }

  private static int compare(int a, int b) {
    return key(a) != key(b) ? Long.compare(key(a), key(b)) : Integer.compare(a, b);
  }

  /** Compares with the place just ahead of the first slot of a key. */
  private static int firstOfKey(int slot, int aheadOf) {
    return key(slot) < key(aheadOf + 1) ? -1 : 1;
  }

  private void toggle(int slot) {
    int at = Collections.binarySearch(plain, slot, OrderedSlotsTest::compare);
    if (at >= 0) {
      plain.remove(at);
      assertTrue(tree.remove(slot));
      assertFalse(tree.remove(slot));
    } else {
      plain.add(-at - 1, slot);
      tree.add(slot);
    }
  }

  private void assertSame() {
    assertEquals(plain.size(), tree.size());
    for (int i = 0; i < plain.size(); i++) {
      assertEquals(plain.get(i), tree.get(i));
    }
    for (int i = 0; i < SLOTS; i++) {
      int first = -Collections.binarySearch(plain, i / 3 * 3 - 1, OrderedSlotsTest::firstOfKey) - 1;
      boolean there = first < plain.size() && key(plain.get(first)) == key(i);
      assertEquals(there ? plain.get(first) : OrderedSlots.NONE, tree.find(key(i)));
    }
    assertThrows(IndexOutOfBoundsException.class, () -> tree.get(plain.size()));
    assertThrows(IndexOutOfBoundsException.class, () -> tree.get(-1));
  }

  @Test
  void holdsTheSameAsASortedListThroughGrowthAndShrinking() {
    assertSame();
    for (int round = 0; round < 4; round++) {
      for (int i = 0; i < SLOTS; i++) {
        toggle(random.nextInt(SLOTS));
      }
      assertSame();
      while (plain.size() > 50 * round) {
        toggle(plain.get(random.nextInt(plain.size())));
      }
      assertSame();
    }
  }

  @Test
  void takesSlotsInOrderAndInReverse() {
    OrderedSlots up = new OrderedSlots(slot -> slot);
    OrderedSlots down = new OrderedSlots(slot -> -slot);
    for (int i = 0; i < SLOTS; i++) {
      up.add(i);
      down.add(i);
    }
    for (int i = 0; i < SLOTS; i++) {
      assertEquals(i, up.get(i));
      assertEquals(SLOTS - 1 - i, down.get(i));
    }
    for (int i = 0; i < SLOTS; i++) {
      assertTrue(up.remove(i));
      assertTrue(down.remove(i));
    }
    assertEquals(0, up.size() + down.size());
  }
}
