package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The delays between watches of the endpoint list. */
class WatchBackoffTest {

  /** Without jitter: each delay is its base. */
  private final WatchBackoff even = new WatchBackoff(() -> 0.5);

  @Test
  void delayAfterAnEndedWatchLeavesMostOfTheSecondThatADrainingEndpointHas() {
    for (int i = 0; i < 20; i++) {
      assertTrue(even.nextDelayMs(10) <= 300);
    }
    assertEquals(100, even.nextDelayMs(6_000));
  }

  @Test
  void delaysGrowWhileListsAreInvalidAndResetWithAValidOne() {
    assertTrue(even.onInvalidList());
    double sumMs = even.nextDelayMs(10);
    for (int i = 0; i < 11; i++) {
      assertFalse(even.onInvalidList());
      sumMs += even.nextDelayMs(10);
    }
    assertEquals(2_000, even.nextDelayMs(60_000));
    assertTrue(sumMs > 15_000, sumMs + " ms for twelve lists");
    assertTrue(even.onValidList());
    assertFalse(even.onValidList());
    assertEquals(100, even.nextDelayMs(10));
    assertTrue(even.onInvalidList());
  }

  /** A change counts as notified after 6 s: two watches have to fit into these. */
  @Test
  void longestDelayLeavesTimeForAnotherWatch() {
    WatchBackoff longest = new WatchBackoff(() -> 1);
    for (int i = 0; i < 50; i++) {
      longest.onInvalidList();
      assertTrue(longest.nextDelayMs(10) <= 3_000);
    }
  }

  /**
   * Bytes damaged on the way make a list invalid. The next watch follows as soon as after any other
   * that ended, so that no draining endpoint is missed for them.
   */
  @Test
  void delaysDoNotGrowForAFewInvalidLists() {
    for (int i = 0; i < 3; i++) {
      even.onInvalidList();
      assertTrue(even.nextDelayMs(10) <= 300);
    }
  }

  @Test
  void delaysOfGatewaysThatLostTheirWatchTogetherAreSpread() {
    SplittableRandom random = new SplittableRandom(4);
    double least = Double.POSITIVE_INFINITY;
    double most = 0;
    for (int i = 0; i < 100; i++) {
      double delayMs = new WatchBackoff(random::nextDouble).nextDelayMs(10);
      least = Math.min(least, delayMs);
      most = Math.max(most, delayMs);
    }
    assertTrue(least < 60 && most > 140, least + " to " + most);
  }
}
