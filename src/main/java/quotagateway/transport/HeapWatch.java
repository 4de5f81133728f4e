package quotagateway.transport;

/**
 * Watches the heap in use, behind the counts of {@link PeerMemory}: what no count covers could
 * otherwise end the process, because the virtual machine exits when an allocation fails. Garbage is
 * told from objects in use by a collection shortly before the heap is full, when the next
 * allocations would cause one anyway. Not thread-safe; confined to one event loop.
 */
public final class HeapWatch {

  /** The heap of a virtual machine. */
  public interface Heap {

    /** Returns the bytes in use, including garbage. */
    long usedBytes();

    /** Returns the maximum size of the heap. */
    long maxBytes();

    /** Collects all garbage before it returns. */
    void collect();
  }

  /** Share of the heap in use, garbage included, from which garbage is collected. */
  private static final double COLLECT_SHARE = 0.9;

  /** Share of the heap in use after a collection from which the heap is exhausted. */
  private static final double EXHAUSTED_SHARE = 0.8;

  /** Share of the heap in use that is aimed at when work is shed. */
  private static final double RELIEF_SHARE = 0.6;

  /** Share of the heap in use from which a collection does not wait for its interval. */
  private static final double FULL_SHARE = 0.97;

  /** Minimum time between collections while the heap is exhausted. */
  private static final double MIN_COLLECT_INTERVAL_MS = 250;

  /** Growth since the last collection after which the next one may keep the heap small. */
  private static final double GROWTH_SHARE = 0.25;

  private final Heap heap;
  private final long targetBytes;
  private long liveBytes;
  private boolean exhausted;
  private double collectedAtMs = Double.NEGATIVE_INFINITY;

  /** Creates a watch of a heap that is not exhausted. */
  public HeapWatch(Heap heap) {
    this(heap, heap.maxBytes());
  }

  /**
   * Creates a watch that also keeps the heap small.
   *
   * @param targetBytes the part of the heap to use, garbage included, as long as what is in use
   *     allows that; the memory of the rest is then not touched
   */
  public HeapWatch(Heap heap, long targetBytes) {
    this.heap = heap;
    this.targetBytes = targetBytes;
  }

  /**
   * Returns a watch of this process's heap.
   *
   * @param targetBytes the part of the heap to use, garbage included
   */
  public static HeapWatch ofThisProcess(long targetBytes) {
    return new HeapWatch(new RuntimeHeap(), targetBytes);
  }

  /**
   * Checks the heap. To be called whenever a peer may have added to it.
   *
   * @return the bytes that should be freed; 0 if the heap is not exhausted, or was found so by an
   *     earlier call that has asked for them already
   */
  public long check(double nowMs) {
    long usedBytes = heap.usedBytes();
    if (!isCollectionDue(usedBytes, nowMs)) {
      return 0;
    }
    heap.collect();
    collectedAtMs = nowMs;
    liveBytes = heap.usedBytes();
    exhausted = liveBytes > EXHAUSTED_SHARE * heap.maxBytes();
    return exhausted ? liveBytes - (long) (RELIEF_SHARE * heap.maxBytes()) : 0;
  }

  private boolean isCollectionDue(long usedBytes, double nowMs) {
    if (exhausted && nowMs - collectedAtMs < MIN_COLLECT_INTERVAL_MS) {
      return usedBytes > FULL_SHARE * heap.maxBytes();
    }
    return exhausted
        || usedBytes > COLLECT_SHARE * heap.maxBytes()
        || (usedBytes > COLLECT_SHARE * targetBytes
            && usedBytes > liveBytes + GROWTH_SHARE * targetBytes);
  }

  /** Returns whether the heap was exhausted at the last check that collected garbage. */
  public boolean isExhausted() {
    return exhausted;
  }

  /** The heap of this process. */
  private static final class RuntimeHeap implements Heap {
    private final Runtime runtime = Runtime.getRuntime();

    @Override
    public long usedBytes() {
      return runtime.totalMemory() - runtime.freeMemory();
    }

    @Override
    public long maxBytes() {
      return runtime.maxMemory();
    }

    @Override
    public void collect() {
      runtime.gc();
    }
  }
}
