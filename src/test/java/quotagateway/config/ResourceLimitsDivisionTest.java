package quotagateway.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.transport.MemoryPool;
import quotagateway.transport.PeerMemory;

/** Tests how the limits of a process are divided among its resources. */
class ResourceLimitsDivisionTest {

  /**
   * Client connections must not use the descriptors that the process itself needs: 24 of its own,
   * 26 for the counter and discovery, 13 for the admin server and 14 spare.
   */
  @Test
  void connectionLimitLeavesDescriptorsForAllOtherUses() {
    ResourceLimits limits = ResourceLimits.of(384, 144, 0.3);
    assertEquals(384 - 24 - 26 - 13 - 14, limits.maxConnections());
    assertEquals(192 - 24 - 13 - 13, limits.maxConnectionsDuringUpgrade());
    assertEquals(0.3, limits.cores());
  }

  /** Even with almost no descriptors, the gateway still tries to serve. */
  @Test
  void connectionLimitIsAtLeastSixteen() {
    ResourceLimits limits = ResourceLimits.of(1, 144, 1);
    assertEquals(16, limits.maxConnections());
    assertEquals(16, limits.maxConnectionsDuringUpgrade());
  }

  @Test
  void bodyAndStreamLimitsAreSharesOfMemory() {
    ResourceLimits limits = ResourceLimits.of(1024, 128, 1);
    assertEquals(8 << 20, limits.maxBodyBytes());
    assertEquals(16 << 20, limits.maxBufferBytes());
    MemoryPool streams = limits.newPeerMemory().streams();
    assertTrue(streams.hasRoomFor((16 << 20) / (64 * 1024) * PeerMemory.STREAM_BYTES));
    assertFalse(streams.hasRoomFor((16 << 20) / (64 * 1024) * PeerMemory.STREAM_BYTES + 1));
  }

  /**
   * A heap that fills up touches all its pages. With little memory the rest of the process, 50 MB
   * and more, would then not fit beside it, and the process would be killed.
   */
  @Test
  void heapInUseLeavesRoomForTheRestOfTheProcess() {
    assertTrue(ResourceLimits.of(1024, 96, 1).heapBytes() <= 32 << 20);
    assertTrue(ResourceLimits.of(1024, 1e6, 1).heapBytes() <= Runtime.getRuntime().maxMemory());
  }

  /**
   * Endpoints may use a sixth of the memory at 150 bytes each, or two thirds of the heap if that is
   * less.
   */
  @Test
  void endpointLimitDependsOnMemoryAndHeap() {
    int limitBySmallMemory = ResourceLimits.of(1024, 1, 1).maxEndpoints();
    assertEquals((int) ((1 << 20) / 6.0 / 150), limitBySmallMemory);
    int limitByHeap = ResourceLimits.of(1024, 1e9, 1).maxEndpoints();
    assertTrue(
        limitByHeap <= Runtime.getRuntime().maxMemory() * 2.0 / 3 / 150,
        limitByHeap + " endpoints");
  }
}
