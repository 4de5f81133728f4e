package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The waits between watches of the list. */
class WatchBackoffTest {

  private final WatchBackoff even = new WatchBackoff(() -> 0.5);

  @Test
  void aWatchThatEndedIsOpenedAgainWithinTheSecondThatADrainLeaves() {
    for (int i = 0; i < 20; i++) {
      assertTrue(even.waitMs(10) <= 300);
    }
    assertEquals(100, even.waitMs(6_000));
  }

  @Test
  void listsThatCannotBeTakenAreAskedForEverMoreRarely() {
    assertTrue(even.notTaken());
    double sum = even.waitMs(10);
    for (int i = 0; i < 11; i++) {
      assertFalse(even.notTaken());
      sum += even.waitMs(10);
    }
    assertEquals(2_000, even.waitMs(60_000));
    assertTrue(sum > 15_000, sum + " ms for twelve lists");
    assertTrue(even.taken());
    assertFalse(even.taken());
    assertEquals(100, even.waitMs(10));
    assertTrue(even.notTaken());
  }

  /** A change counts as told after 6 s, so that two calls have to fit into these. */
  @Test
  void theLongestWaitLeavesTimeForOneMore() {
    WatchBackoff longest = new WatchBackoff(() -> 1);
    for (int i = 0; i < 50; i++) {
      longest.notTaken();
      assertTrue(longest.waitMs(10) <= 3_000);
    }
  }

  /**
   * Bytes spoilt on the way cost no drain: after a few such lists the next is asked for as soon as
   * ever.
   */
  @Test
  void aFewSpoiltListsAreAskedForSoon() {
    for (int i = 0; i < 3; i++) {
      even.notTaken();
      assertTrue(even.waitMs(10) <= 300);
    }
  }

  @Test
  void frontDoorsThatLostTheirWatchTogetherComeBackSpread() {
    SplittableRandom random = new SplittableRandom(4);
    double least = Double.POSITIVE_INFINITY;
    double most = 0;
    for (int i = 0; i < 100; i++) {
      double wait = new WatchBackoff(random::nextDouble).waitMs(10);
      least = Math.min(least, wait);
      most = Math.max(most, wait);
    }
    assertTrue(least < 60 && most > 140, least + " to " + most);
  }
}
