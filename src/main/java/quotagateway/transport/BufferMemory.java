package quotagateway.transport;

/**
 * The memory for what passes between clients and backends, in separate pools, so that large bodies
 * and slow clients cannot take the memory of other responses. Not thread-safe; confined to one
 * event loop.
 *
 * @param streams memory of bodies and responses that are streamed, {@link #STREAM_BYTES} each
 * @param buffered memory of responses that are buffered while they are received
 * @param unread memory of complete responses that their client's socket has not taken
 */
public record BufferMemory(MemoryPool streams, MemoryPool buffered, MemoryPool unread) {

  /**
   * Most bytes that a streamed body holds: a read that its socket has not taken yet, and a copy of
   * what came with it, with some room for growth; see {@link StreamWriter}.
   */
  public static final int STREAM_BYTES = 5 * SocketTransport.MAX_READ_BYTES / 2;

  private static final double STREAM_SHARE = 5.0 / 8;
  private static final double BUFFERED_SHARE = 2.0 / 8;
  private static final double UNREAD_SHARE = 1.0 / 8;

  /** Divides the memory, in bytes, between the pools. */
  public static BufferMemory of(long bytes) {
    return new BufferMemory(
        new MemoryPool((long) (bytes * STREAM_SHARE)),
        new MemoryPool((long) (bytes * BUFFERED_SHARE)),
        new MemoryPool((long) (bytes * UNREAD_SHARE)));
  }

  /** Creates pools that have room for everything. */
  public static BufferMemory unlimited() {
    return of(1L << 50);
  }
}
