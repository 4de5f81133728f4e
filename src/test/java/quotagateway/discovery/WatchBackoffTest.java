package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the delays between watches of the endpoint list. */
class WatchBackoffTest {

  /** Without jitter: each delay equals its base. */
  private final WatchBackoff backoff = new WatchBackoff(() -> 0.5);

  /** A draining endpoint leaves one second for its last requests; the delay uses little of it. */
  @Test
  void delayAfterEndedWatchIsShortAndResetsAfterStableWatch() {
    for (int i = 0; i < 20; i++) {
      assertTrue(backoff.nextDelayMs(10) <= 300);
    }
    assertEquals(100, backoff.nextDelayMs(6_000));
  }

  @Test
  void delaysGrowWhileListsAreInvalidAndResetAfterValidList() {
    assertTrue(backoff.onInvalidList());
    double sumMs = backoff.nextDelayMs(10);
    for (int i = 0; i < 11; i++) {
      assertFalse(backoff.onInvalidList());
      sumMs += backoff.nextDelayMs(10);
    }
    assertEquals(2_000, backoff.nextDelayMs(60_000));
    assertTrue(sumMs > 15_000, sumMs + " ms for twelve lists");
    assertTrue(backoff.onValidList());
    assertFalse(backoff.onValidList());
    assertEquals(100, backoff.nextDelayMs(10));
    assertTrue(backoff.onInvalidList());
  }

  /**
   * The gateway counts as notified of a change after 6 s, so two watches have to fit into that
   * time.
   */
  @Test
  void longestDelayLeavesTimeForAnotherWatchWithinNotificationLimit() {
    WatchBackoff maxJitterBackoff = new WatchBackoff(() -> 1);
    for (int i = 0; i < 50; i++) {
      maxJitterBackoff.onInvalidList();
      assertTrue(maxJitterBackoff.nextDelayMs(10) <= 3_000);
    }
  }

  /**
   * Bytes damaged in transit make a list invalid. The next watch follows as soon as after a watch
   * that ended, so that no draining endpoint is missed because of such damage.
   */
  @Test
  void delaysDoNotGrowForFirstInvalidLists() {
    for (int i = 0; i < 3; i++) {
      backoff.onInvalidList();
      assertTrue(backoff.nextDelayMs(10) <= 300);
    }
  }

  @Test
  void delaysOfGatewaysThatLostTheirWatchSimultaneouslyAreSpread() {
    SplittableRandom random = new SplittableRandom(4);
    double minDelayMs = Double.POSITIVE_INFINITY;
    double maxDelayMs = 0;
    for (int i = 0; i < 100; i++) {
      double delayMs = new WatchBackoff(random::nextDouble).nextDelayMs(10);
      minDelayMs = Math.min(minDelayMs, delayMs);
      maxDelayMs = Math.max(maxDelayMs, delayMs);
    }
    assertTrue(minDelayMs < 60 && maxDelayMs > 140, minDelayMs + " to " + maxDelayMs);
  }
}
