package quotagateway.transport;

import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * Limits the memory that buffers of one kind hold together. A holder counts the capacity of its
 * buffers, not the bytes in them, since a buffer takes its whole capacity for a single byte. Not
 * thread-safe; confined to one event loop.
 */
public final class MemoryPool {

  private final long limitBytes;
  private long heldBytes;

  /** Tasks that wait for memory, in the order in which they began to wait. */
  private final ArrayDeque<BooleanSupplier> waiting = new ArrayDeque<>();

  private boolean resuming;

  /** Creates an empty pool. */
  public MemoryPool(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns whether the limit leaves room for so many more bytes. */
  public boolean hasRoomFor(int bytes) {
    return heldBytes + bytes <= limitBytes;
  }

  /**
   * Reserves bytes if the limit leaves room for them.
   *
   * @return whether they were reserved
   */
  public boolean tryReserve(int bytes) {
    if (!hasRoomFor(bytes)) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  /**
   * Counts bytes that are held already, even beyond the limit.
   *
   * @return whether the limit is kept
   */
  public boolean reserve(int bytes) {
    heldBytes += bytes;
    return heldBytes <= limitBytes;
  }

  /** Returns reserved bytes, and runs the tasks that wait for memory as far as it suffices. */
  public void release(int bytes) {
    heldBytes -= bytes;
    resumeWaiting();
  }

  /**
   * Runs a task when memory has been released, again after each release until the task returns
   * true. Tasks run in the order in which they were added; the first one that returns false keeps
   * the others waiting.
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
