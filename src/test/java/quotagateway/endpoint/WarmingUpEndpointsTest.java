package quotagateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which endpoints count as warming up. */
class WarmingUpEndpointsTest {

  private static final double WARM_UP_MS = 5_000;
  private static final double NOW_MS = 1_000_000;

  private final EndpointColumns columns = new EndpointColumns();
  private final WarmingUpEndpoints warmingUp = new WarmingUpEndpoints(columns);

  private int startedAt(double startedMs) {
    int slot = columns.allocate(columns.capacity());
    columns.setStartedMs(slot, startedMs);
    return slot;
  }

  @Test
  void countsThoseThatStartedLessThanTheWarmUpAgo() {
    for (double startedMs : new double[] {NOW_MS, NOW_MS - 4_999, NOW_MS - 5_000}) {
      warmingUp.addIfWarmingUp(startedAt(startedMs), WARM_UP_MS, NOW_MS);
    }
    assertEquals(2, warmingUp.count(WARM_UP_MS, NOW_MS));
    assertEquals(1, warmingUp.count(WARM_UP_MS, NOW_MS + 1));
    assertEquals(0, warmingUp.count(WARM_UP_MS, NOW_MS + 5_000));
  }

  // A start time of 0 stands for long ago, also where the clock itself has begun at 0.
  @Test
  void takesAnEndpointOfUnknownStartForWarm() {
    assertFalse(warmingUp.isWarmingUp(startedAt(0), WARM_UP_MS, 1_000));
    assertTrue(warmingUp.isWarmingUp(startedAt(1), WARM_UP_MS, 1_000));
  }

  @Test
  void removesAnEndpoint() {
    int slot = startedAt(NOW_MS);
    warmingUp.addIfWarmingUp(slot, WARM_UP_MS, NOW_MS);
    warmingUp.remove(slot);
    assertEquals(0, warmingUp.count(WARM_UP_MS, NOW_MS));
  }
}
