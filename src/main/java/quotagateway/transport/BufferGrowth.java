package quotagateway.transport;

import io.netty.buffer.ByteBuf;

/**
 * Grows a buffer in small steps. Netty doubles the capacity of a buffer that is full, and so may
 * hold twice the bytes that were received.
 */
public final class BufferGrowth {

  /** Minimum step, so that a body in tiny pieces is not copied for each of them. */
  private static final int MIN_STEP_BYTES = 4 * 1024;

  private BufferGrowth() {}

  /** Makes room for more bytes at the end of a buffer. */
  public static void ensureWritable(ByteBuf buffer, int bytes) {
    if (buffer.writableBytes() >= bytes) {
      return;
    }
    int neededBytes = buffer.writerIndex() + bytes;
    int minCapacity = buffer.capacity() == 0 ? 0 : buffer.capacity() + MIN_STEP_BYTES;
    buffer.capacity(Math.max(neededBytes, minCapacity));
  }
}
