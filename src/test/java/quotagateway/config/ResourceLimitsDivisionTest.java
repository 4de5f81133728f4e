package quotagateway.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the limits of a process are divided among what it holds. */
class ResourceLimitsDivisionTest {

  /**
   * A crowd of clients must not take the descriptors that the process needs for itself: 24 of its
   * own, 26 to the counter and discovery, 13 of the admin server, 14 spare.
   */
  @Test
  void connectionsLeaveDescriptorsForAllOtherUses() {
    ResourceLimits limits = ResourceLimits.of(384, 144, 0.3);
    assertEquals(384 - 24 - 26 - 13 - 14, limits.connections());
    assertEquals(192 - 24 - 13 - 13, limits.connectionsDuringUpgrade());
    assertEquals(0.3, limits.cores());
  }

  /** With next to no descriptors the gateway still tries to serve. */
  @Test
  void connectionsAreNeverFewerThanSixteen() {
    ResourceLimits limits = ResourceLimits.of(1, 144, 1);
    assertEquals(16, limits.connections());
    assertEquals(16, limits.connectionsDuringUpgrade());
  }

  @Test
  void bodiesAndStreamsGetTheirSharesOfTheMemory() {
    ResourceLimits limits = ResourceLimits.of(1024, 128, 1);
    assertEquals(8 << 20, limits.bodyBytes());
    assertEquals((16 << 20) / (64 * 1024), limits.streams());
  }

  /** A sixth of the memory at 150 bytes each, or two thirds of the heap if that is less. */
  @Test
  void endpointsAreBoundedByMemoryAndHeap() {
    int ofSmallMemory = ResourceLimits.of(1024, 1, 1).endpoints();
    assertEquals((int) ((1 << 20) / 6.0 / 150), ofSmallMemory);
    int ofHeap = ResourceLimits.of(1024, 1e9, 1).endpoints();
    assertTrue(ofHeap <= Runtime.getRuntime().maxMemory() * 2.0 / 3 / 150, ofHeap + " endpoints");
  }
}
