package quotagateway.backend;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How long an idle connection is trusted. */
class IdleConnectionReuseTest {

  private final IdleConnectionReuse trust = new IdleConnectionReuse();

  @Test
  void trustsAnyWhileNoneWasFoundDead() {
    assertTrue(trust.trusts(9_000));
  }

  @Test
  void trustsHalfOfWhatWasFoundDead() {
    trust.died(200);
    assertTrue(trust.trusts(90));
    assertFalse(trust.trusts(110));
  }

  @Test
  void regainsTrustWhenTheTroubleIsOver() {
    trust.died(200);
    for (int i = 0; i < 200; i++) {
      trust.lived(1_000);
    }
    assertTrue(trust.trusts(900));
  }
}
