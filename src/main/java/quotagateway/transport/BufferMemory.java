package quotagateway.transport;

/**
 * The memory for what passes between clients and backends: one limit, and a lower one for some
 * kinds, so that large bodies cannot take the memory of other responses. Not thread-safe; confined
 * to one event loop.
 *
 * @param streams memory of bodies and responses that are streamed, {@link #STREAM_BYTES} each
 * @param buffered memory of responses that are buffered while they are received
 * @param unread memory of complete responses that their client's socket has not taken; may be all
 *     that the others leave
 */
public record BufferMemory(MemoryPool streams, MemoryPool buffered, MemoryPool unread) {

  /**
   * Most bytes that a streamed body holds: a read that its socket has not taken yet, and a copy of
   * what came with it, with some room for growth; see {@link StreamWriter}.
   */
  public static final int STREAM_BYTES = 5 * SocketTransport.MAX_READ_BYTES / 2;

  private static final double STREAM_SHARE = 5.0 / 8;
  private static final double BUFFERED_SHARE = 2.0 / 8;

  /** Creates the pools of a memory of so many bytes. */
  public static BufferMemory of(long bytes) {
    MemoryPool all = new MemoryPool(bytes);
    return new BufferMemory(
        all.addPart((long) (bytes * STREAM_SHARE)),
        all.addPart((long) (bytes * BUFFERED_SHARE)),
        all.addPart(bytes));
  }

  /** Creates pools that have room for everything. */
  public static BufferMemory unlimited() {
    return of(1L << 50);
  }
}
