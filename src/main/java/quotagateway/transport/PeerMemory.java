package quotagateway.transport;

/**
 * The memory that peers make this process hold, each kind with its own limit. Holders count what
 * they hold at its cost in memory until it is freed. Not thread-safe; confined to one event loop.
 *
 * <p>Buffers between clients and backends share one limit, and some kinds of them have a lower one,
 * so that large bodies cannot take the memory of other responses. Everything else is on the heap:
 * connections, requests and the heads of messages.
 *
 * @param streams memory of bodies and responses that are streamed, {@link #STREAM_BYTES} each
 * @param buffered memory of responses that are buffered while they are received
 * @param unread memory of complete responses that their client's socket has not taken; may be all
 *     that the others leave
 * @param heap heap of connections, of requests, and of heads that are being received
 * @param requests the part of the heap that requests hold: their heads and buffered bodies
 */
public record PeerMemory(
    MemoryPool streams,
    MemoryPool buffered,
    MemoryPool unread,
    MemoryPool heap,
    MemoryPool requests) {

  /**
   * Most bytes that a streamed body holds: a read that its socket has not taken yet, and a copy of
   * what came with it, with some room for growth; see {@link StreamWriter}.
   */
  public static final int STREAM_BYTES = 5 * SocketTransport.MAX_READ_BYTES / 2;

  private static final double STREAM_SHARE = 5.0 / 8;
  private static final double BUFFERED_SHARE = 2.0 / 8;
  private static final long UNLIMITED_BYTES = 1L << 50;

  /**
   * Creates the pools.
   *
   * @param bufferBytes memory of buffers between clients and backends
   * @param heapBytes heap that peers may take
   * @param requestBytes the part of the heap that requests may take
   */
  public static PeerMemory of(long bufferBytes, long heapBytes, long requestBytes) {
    MemoryPool buffers = new MemoryPool(bufferBytes);
    MemoryPool heap = new MemoryPool(heapBytes);
    return new PeerMemory(
        buffers.addPart((long) (bufferBytes * STREAM_SHARE)),
        buffers.addPart((long) (bufferBytes * BUFFERED_SHARE)),
        buffers.addPart(bufferBytes),
        heap,
        heap.addPart(requestBytes));
  }

  /** Creates pools that have room for everything. */
  public static PeerMemory unlimited() {
    return of(UNLIMITED_BYTES, UNLIMITED_BYTES, UNLIMITED_BYTES);
  }
}
