package quotagateway.backend;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the learned limit on the idle time of reused connections. */
class IdleConnectionReuseTest {

  private final IdleConnectionReuse reuse = new IdleConnectionReuse();

  @Test
  void allowsAnyIdleTimeUntilADeadConnectionIsRecorded() {
    assertTrue(reuse.allowsReuseAfter(9_000));
  }

  @Test
  void allowsHalfTheIdleTimeOfDeadConnections() {
    reuse.recordDead(200);
    assertTrue(reuse.allowsReuseAfter(90));
    assertFalse(reuse.allowsReuseAfter(110));
  }

  /**
   * Idle connections died early during a fault. After the fault, connections that stay alive raise
   * the allowed idle time again.
   */
  @Test
  void allowsLongerIdleTimesAgainWhenConnectionsStayAlive() {
    reuse.recordDead(200);
    for (int i = 0; i < 200; i++) {
      reuse.recordAlive(1_000);
    }
    assertTrue(reuse.allowsReuseAfter(900));
  }
}
