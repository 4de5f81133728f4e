package quotagateway.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Collects the received bytes that a decoder cannot decode yet, in a buffer of their size on the
 * heap. Without this, a few bytes of an incomplete head would hold the buffer into which they were
 * read, up to {@link SocketTransport#MAX_READ_BYTES}, for as long as the peer takes to send the
 * rest.
 */
public final class CompactingCumulator implements ByteToMessageDecoder.Cumulator {

  /** The only instance, which has no state. */
  public static final CompactingCumulator INSTANCE = new CompactingCumulator();

  /** A buffer with more than this many times its bytes as its capacity is not kept. */
  private static final int MAX_CAPACITY_FACTOR = 2;

  private CompactingCumulator() {}

  @Override
  public ByteBuf cumulate(ByteBufAllocator alloc, ByteBuf cumulation, ByteBuf in) {
    if (!cumulation.isReadable()) {
      cumulation.release();
      return compact(in);
    }
    if (!in.isReadable()) {
      in.release();
      return copyToHeap(cumulation);
    }
    return join(cumulation, in);
  }

  private static ByteBuf join(ByteBuf first, ByteBuf second) {
    try {
      return Unpooled.buffer(first.readableBytes() + second.readableBytes())
          .writeBytes(first)
          .writeBytes(second);
    } finally {
      first.release();
      second.release();
    }
  }

  /**
   * Returns whether undecoded bytes that wait for more should be compacted, by passing an empty
   * buffer to the decoder: they are in a read buffer, or in one of more than their size.
   */
  public static boolean needsCompaction(ByteBuf undecoded) {
    return undecoded.isReadable() && (undecoded.isDirect() || isSparse(undecoded));
  }

  private static boolean isSparse(ByteBuf buffer) {
    return buffer.capacity() > MAX_CAPACITY_FACTOR * buffer.readableBytes();
  }

  private static ByteBuf compact(ByteBuf buffer) {
    return buffer.isReadable() && isSparse(buffer) ? copyToHeap(buffer) : buffer;
  }

  private static ByteBuf copyToHeap(ByteBuf buffer) {
    try {
      return Unpooled.buffer(buffer.readableBytes()).writeBytes(buffer);
    } finally {
      buffer.release();
    }
  }
}
