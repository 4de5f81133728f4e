package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the detection of gateway stalls from overdue wake-ups. */
class WakeUpTimerTest {

  private final WakeUpTimer timer = new WakeUpTimer();

  @Test
  void wakeUpThatIsHundredMillisecondsLateIsNoStall() {
    timer.schedule(1_000);
    timer.detectStall(1_100);
    assertFalse(timer.isStalled(1_100));
    assertEquals(0, timer.stalledMsSince(0));
    assertTrue(timer.isDue(1_100));
  }

  @Test
  void wakeUpOverHundredMillisecondsLateIsStallUntilNextEvent() {
    timer.schedule(1_000);
    timer.detectStall(1_300);
    assertTrue(timer.isStalled(1_300));
    assertEquals(1_300, timer.stalledUntilMs());
    assertTrue(timer.isDue(1_300));
    assertFalse(timer.isDue(1_299));
    timer.detectStall(1_301);
    assertFalse(timer.isStalled(1_301));
  }

  @Test
  void countsOverdueTimeSinceGivenTime() {
    timer.schedule(1_000);
    timer.detectStall(1_300);
    assertEquals(300, timer.stalledMsSince(500));
    assertEquals(100, timer.stalledMsSince(1_200));
    assertEquals(0, timer.stalledMsSince(1_400));
  }

  @Test
  void wakeUpIsDueFromItsScheduledTime() {
    timer.schedule(1_000);
    assertFalse(timer.isDue(999));
    assertTrue(timer.isDue(1_000));
    assertEquals(1_000, timer.dueAtMs());
  }
}
