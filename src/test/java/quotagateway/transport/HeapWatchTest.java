package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.testing.FakeHeap;

/** Tests when the heap counts as exhausted, on a heap of 1,000 bytes. */
class HeapWatchTest {

  private final FakeHeap heap = new FakeHeap();
  private final HeapWatch watch = new HeapWatch(heap);

  /** A heap full of garbage is collected and no work is ended for it. */
  @Test
  void garbageIsCollectedBeforeTheHeapCountsAsExhausted() {
    heap.liveBytes = 300;
    heap.garbageBytes = 650;
    assertEquals(0, watch.check(0));
    assertEquals(1, heap.collections);
    assertFalse(watch.isExhausted());
  }

  @Test
  void heapWithRoomIsNotCollected() {
    heap.liveBytes = 300;
    heap.garbageBytes = 550;
    assertEquals(0, watch.check(0));
    assertEquals(0, heap.collections);
  }

  /** Objects in use, which no collection frees, are reported before an allocation fails. */
  @Test
  void objectsInUseExhaustTheHeapBeforeItIsFull() {
    heap.liveBytes = 910;
    assertEquals(310, watch.check(0));
    assertTrue(watch.isExhausted());
  }

  /** What was asked for takes a moment to be freed; asking again at once would end too much. */
  @Test
  void excessIsReportedOnceInAnInterval() {
    heap.liveBytes = 910;
    watch.check(0);
    assertEquals(0, watch.check(100));
    assertTrue(watch.isExhausted());
    assertEquals(310, watch.check(300));
  }

  /** Within the interval the heap may still fill up. */
  @Test
  void fullHeapDoesNotWaitForTheInterval() {
    heap.liveBytes = 910;
    watch.check(0);
    heap.liveBytes = 980;
    assertEquals(380, watch.check(1));
  }

  /** With little memory, garbage must not touch pages that the rest of the process needs. */
  @Test
  void garbageIsCollectedAtTheTargetSize() {
    HeapWatch smallWatch = new HeapWatch(heap, 600);
    heap.liveBytes = 300;
    heap.garbageBytes = 230;
    smallWatch.check(0);
    assertEquals(0, heap.collections);
    heap.garbageBytes = 250;
    assertEquals(0, smallWatch.check(0));
    assertEquals(1, heap.collections);
  }

  /** If more than the target is in use, collecting for it again and again would be in vain. */
  @Test
  void heapInUseBeyondTheTargetIsNotCollectedAtEachCheck() {
    HeapWatch smallWatch = new HeapWatch(heap, 600);
    heap.liveBytes = 700;
    smallWatch.check(0);
    heap.garbageBytes = 140;
    smallWatch.check(1);
    assertEquals(1, heap.collections);
    assertFalse(smallWatch.isExhausted());
  }

  @Test
  void heapIsNotExhaustedAfterWorkHasEnded() {
    heap.liveBytes = 910;
    watch.check(0);
    heap.liveBytes = 500;
    assertEquals(0, watch.check(300));
    assertFalse(watch.isExhausted());
  }
}
