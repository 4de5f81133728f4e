package quotagateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which endpoints count as warming up. */
class WarmingUpEndpointsTest {

  private static final double WARM_UP_MS = 5_000;
  private static final double NOW_MS = 1_000_000;

  private final EndpointColumns columns = new EndpointColumns();
  private final WarmingUpEndpoints warmingUp = new WarmingUpEndpoints(columns);

  private int addEndpointStartedAt(double startedMs) {
    int slot = columns.allocate(columns.capacity());
    columns.setStartedMs(slot, startedMs);
    return slot;
  }

  @Test
  void countsEndpointsStartedWithinWarmUpTime() {
    for (double startedMs : new double[] {NOW_MS, NOW_MS - 4_999, NOW_MS - 5_000}) {
      warmingUp.addIfWarmingUp(addEndpointStartedAt(startedMs), WARM_UP_MS, NOW_MS);
    }
    assertEquals(2, warmingUp.count(WARM_UP_MS, NOW_MS));
    assertEquals(1, warmingUp.count(WARM_UP_MS, NOW_MS + 1));
    assertEquals(0, warmingUp.count(WARM_UP_MS, NOW_MS + 5_000));
  }

  // A start time of 0 means long ago, even if the clock itself starts at 0.
  @Test
  void treatsEndpointWithoutStartTimeAsWarm() {
    assertFalse(warmingUp.isWarmingUp(addEndpointStartedAt(0), WARM_UP_MS, 1_000));
    assertTrue(warmingUp.isWarmingUp(addEndpointStartedAt(1), WARM_UP_MS, 1_000));
  }

  @Test
  void removesEndpoint() {
    int slot = addEndpointStartedAt(NOW_MS);
    warmingUp.addIfWarmingUp(slot, WARM_UP_MS, NOW_MS);
    warmingUp.remove(slot);
    assertEquals(0, warmingUp.count(WARM_UP_MS, NOW_MS));
  }
}
