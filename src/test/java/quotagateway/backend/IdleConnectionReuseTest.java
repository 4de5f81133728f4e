package quotagateway.backend;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long an idle connection is trusted. */
class IdleConnectionReuseTest {

  private final IdleConnectionReuse reuse = new IdleConnectionReuse();

  @Test
  void allowsAnyIdleTimeWhileNoConnectionWasDead() {
    assertTrue(reuse.allowsReuseAfter(9_000));
  }

  @Test
  void allowsHalfTheIdleTimeOfDeadConnections() {
    reuse.recordDead(200);
    assertTrue(reuse.allowsReuseAfter(90));
    assertFalse(reuse.allowsReuseAfter(110));
  }

  /**
   * Connections died early during a fault. When it is over, those that survive show it, and the
   * allowed time grows again.
   */
  @Test
  void allowsLongerIdleTimesAgainWhenConnectionsSurvive() {
    reuse.recordDead(200);
    for (int i = 0; i < 200; i++) {
      reuse.recordAlive(1_000);
    }
    assertTrue(reuse.allowsReuseAfter(900));
  }
}
