package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.IntConsumer;
import quotagateway.transport.BufferGrowth;

/**
 * The body of a request, passed from its client to a backend. A body of up to {@link
 * #MAX_BUFFERED_BYTES} is buffered completely, so that further attempts can send it again. A larger
 * one is streamed with back pressure; until its stream begins, some more of it is read if there is
 * memory for that, so that a disconnect of its client is noticed. Confined to the event loop's
 * thread.
 *
 * <p>Buffer ownership: this object owns its internal buffer from the first {@link #add} until
 * {@link #streamTo} passes the buffer to the sink or {@link #release} frees it. The caller keeps
 * ownership of the bytes given to {@link #add}: they are copied, or retained for the sink. A sink
 * owns every buffer that it is given, and releases it.
 */
public final class RequestBody {

  /** Maximum size of a body that is buffered completely: the most that the protocol allows. */
  public static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /**
   * Most bytes of a body that are read before it is streamed, in order to notice a client that
   * closes its connection behind them while the request waits.
   */
  private static final int MAX_READ_AHEAD_BYTES = 1 << 20;

  /** Least growth of the buffer while a body is read ahead. */
  private static final int READ_AHEAD_STEP_BYTES = 64 * 1024;

  /** The client's side, from which the body is read. */
  public interface Source {

    /** Resumes or pauses reading. */
    void setReading(boolean enabled);

    /** Returns whether there is memory to read more than has to be buffered. */
    default boolean mayReadAhead() {
      return false;
    }
  }

  /** The backend's side, to which the body is streamed. */
  interface Sink {

    /**
     * Writes the bytes and takes ownership of them.
     *
     * @return whether the sink accepts more bytes now
     */
    boolean writeContent(ByteBuf bytes);

    /** Ends the body. */
    void end();

    /** Runs a task once everything that was written has been taken, or cannot be any more. */
    void whenUnblocked(Runnable task);
  }

  private final Source source;
  private final IntConsumer heldBytesListener;

  /** Further memory that is held until the release. */
  private int overheadBytes;

  private ByteBuf buffer = Unpooled.EMPTY_BUFFER;

  /** Null until the body is streamed, and after the sink is detached. */
  private Sink sink;

  private boolean complete;

  /** Whether further bytes are discarded. */
  private boolean discarding;

  /**
   * Creates an empty, incomplete body.
   *
   * @param source resumes and pauses reading
   * @param heldBytesListener receives each change in the memory that is held, in bytes
   */
  public RequestBody(Source source, IntConsumer heldBytesListener) {
    this.source = source;
    this.heldBytesListener = heldBytesListener;
  }

  /** Counts further memory of the request, which is held until the body is released. */
  public void addOverhead(int bytes) {
    overheadBytes += bytes;
    heldBytesListener.accept(bytes);
  }

  /** Returns a complete body with a copy of the given bytes, which the caller keeps owning. */
  public static RequestBody of(ByteBuf bytes) {
    RequestBody body = new RequestBody(more -> {}, change -> {});
    body.add(bytes);
    body.end();
    return body;
  }

  /** Adds bytes received from the client, which the caller keeps owning. */
  public void add(ByteBuf bytes) {
    if (discarding || !bytes.isReadable()) {
      return;
    }
    if (sink != null) {
      boolean moreWanted = sink.writeContent(bytes.retain());
      source.setReading(moreWanted);
      return;
    }
    int capacityBefore = buffer.capacity();
    if (capacityBefore == 0) {
      buffer = Unpooled.buffer(bytes.readableBytes());
    }
    makeRoom(bytes.readableBytes());
    buffer.writeBytes(bytes);
    heldBytesListener.accept(buffer.capacity() - capacityBefore);
    if (exceedsBuffer() && !mayReadAhead()) {
      source.setReading(false);
    }
  }

  private void makeRoom(int bytes) {
    if (buffer.writableBytes() < bytes) {
      int growthBytes = exceedsBuffer() ? READ_AHEAD_STEP_BYTES : 0;
      BufferGrowth.ensureWritable(buffer, Math.max(growthBytes, bytes));
    }
  }

  private boolean mayReadAhead() {
    return buffer.readableBytes() < MAX_READ_AHEAD_BYTES && source.mayReadAhead();
  }

  /**
   * Marks the body as complete and resumes reading from its source. If reading paused at the last
   * bytes, nothing else would resume it, and the client's connection would never be read again.
   */
  public void end() {
    complete = true;
    source.setReading(true);
    if (sink != null) {
      sink.end();
    }
  }

  /** Returns whether the last byte of the body has been received. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns whether the buffered bytes exceed the limit, so that the body has to be streamed. */
  public boolean exceedsBuffer() {
    return buffer.readableBytes() > MAX_BUFFERED_BYTES;
  }

  /**
   * Returns the buffered bytes, which this object still owns: the entire body if it is complete and
   * has not been streamed.
   */
  public ByteBuf buffered() {
    return buffer;
  }

  /** Streams the buffered bytes, and then all bytes that are added later. */
  void streamTo(Sink newSink) {
    sink = newSink;
    ByteBuf bufferedBytes = takeBuffer();
    int heldBytes = bufferedBytes.capacity();
    boolean moreWanted = !bufferedBytes.isReadable() || newSink.writeContent(bufferedBytes);
    newSink.whenUnblocked(() -> heldBytesListener.accept(-heldBytes));
    if (complete) {
      newSink.end();
    } else {
      source.setReading(moreWanted);
    }
  }

  /** Resumes reading from the source when the sink accepts bytes again. */
  void onSinkWritable() {
    if (!complete && !discarding) {
      source.setReading(true);
    }
  }

  /** Discards the rest of the body if it was being streamed to the given sink. */
  void detach(Sink endedSink) {
    if (sink != null && sink == endedSink) {
      sink = null;
      discarding = true;
    }
  }

  /** Releases the buffer and discards the rest of the body. Further calls have no effect. */
  public void release() {
    discarding = true;
    ByteBuf unused = takeBuffer();
    heldBytesListener.accept(-unused.capacity() - overheadBytes);
    overheadBytes = 0;
    unused.release();
  }

  private ByteBuf takeBuffer() {
    ByteBuf taken = buffer;
    buffer = Unpooled.EMPTY_BUFFER;
    return taken;
  }
}
