package quotagateway.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Limits the memory that buffers of one kind hold together. A holder counts the capacity of its
 * buffers, not the bytes in them, since a buffer takes its whole capacity for a single byte. A pool
 * may be part of another one, whose limit holds for all its parts together. Not thread-safe;
 * confined to one event loop.
 */
public final class MemoryPool {

  private final long limitBytes;

  /** The pool that this one is part of, or null. */
  private final MemoryPool whole;

  private final List<MemoryPool> parts = new ArrayList<>();
  private long heldBytes;

  /** Tasks that wait for memory, in the order in which they began to wait. */
  private final ArrayDeque<BooleanSupplier> waiting = new ArrayDeque<>();

  private boolean resuming;

  /** Creates an empty pool. */
  public MemoryPool(long limitBytes) {
    this(limitBytes, null);
  }

  private MemoryPool(long limitBytes, MemoryPool whole) {
    this.limitBytes = limitBytes;
    this.whole = whole;
  }

  /** Adds an empty pool that is part of this one. */
  public MemoryPool addPart(long partLimitBytes) {
    MemoryPool part = new MemoryPool(partLimitBytes, this);
    parts.add(part);
    return part;
  }

  /** Returns whether the limits leave room for so many more bytes. */
  public boolean hasRoomFor(int bytes) {
    return heldBytes + bytes <= limitBytes && (whole == null || whole.hasRoomFor(bytes));
  }

  /** Returns whether no more than half of the limit of this pool is held. */
  public boolean isHalfFree() {
    return heldBytes <= limitBytes / 2 && hasRoomFor(0);
  }

  /**
   * Reserves bytes if the limits leave room for them.
   *
   * @return whether they were reserved
   */
  public boolean tryReserve(int bytes) {
    return hasRoomFor(bytes) && reserve(bytes);
  }

  /**
   * Counts bytes that are held already, even beyond the limits.
   *
   * @return whether the limits are kept
   */
  public boolean reserve(int bytes) {
    add(bytes);
    return hasRoomFor(0);
  }

  /** Counts a change of what is held already: reserves bytes, or releases them if negative. */
  public void adjust(int change) {
    if (change < 0) {
      release(-change);
    } else {
      reserve(change);
    }
  }

  /** Returns reserved bytes, and runs the tasks that wait for memory as far as it suffices. */
  public void release(int bytes) {
    add(-bytes);
    MemoryPool root = this;
    while (root.whole != null) {
      root = root.whole;
    }
    root.resumeWaiting();
  }

  private void add(int bytes) {
    heldBytes += bytes;
    if (whole != null) {
      whole.add(bytes);
    }
  }

  /**
   * Runs a task when memory of this pool, or of one that shares a limit with it, has been released,
   * again after each release until the task returns true. Tasks run in the order in which they were
   * added; the first one that returns false keeps the others waiting.
   */
  public void whenReleased(BooleanSupplier task) {
    waiting.add(task);
  }

  private void resumeWaiting() {
    if (resuming) {
      // The loop of the outer call goes on.
      return;
    }
    resuming = true;
    try {
      runWaiting();
      parts.forEach(MemoryPool::resumeWaiting);
    } finally {
      resuming = false;
    }
  }

  private void runWaiting() {
    for (BooleanSupplier task = waiting.poll(); task != null; task = waiting.poll()) {
      if (!task.getAsBoolean()) {
        waiting.addFirst(task);
        return;
      }
    }
  }
}
