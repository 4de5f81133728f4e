package quotagateway.testing;

import quotagateway.transport.HeapWatch;

/** A heap of 1,000 bytes whose use the test sets. */
public final class FakeHeap implements HeapWatch.Heap {

  public long liveBytes;
  public long garbageBytes;
  public int collections;

  @Override
  public long usedBytes() {
    return liveBytes + garbageBytes;
  }

  @Override
  public long maxBytes() {
    return 1_000;
  }

  @Override
  public void collect() {
    collections++;
    garbageBytes = 0;
  }
}
