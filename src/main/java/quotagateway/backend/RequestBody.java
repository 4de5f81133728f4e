package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.IntConsumer;

/**
 * The body of a request on its way from its client to a backend. Within the bound it is kept whole,
 * so that further attempts can send it again. A larger one is streamed as it comes, as fast as both
 * sides go, and not kept. On the event loop's thread.
 *
 * <p>Who owns which buffer: this object owns the buffer in which it keeps bytes, from the first
 * {@link #add} until {@link #streamTo} gives it to the sink or {@link #release} frees it. The bytes
 * given to {@link #add} stay their caller's: they are copied, or retained for the sink. A sink owns
 * every buffer that it is given, and releases it.
 */
public final class RequestBody {

  /** A body within this is kept whole: what the protocol allows for one. */
  public static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Where the body comes from. */
  public interface Source {

    /** Reads on, or leaves what comes next where it is. */
    void wants(boolean more);
  }

  /** Where the body is streamed to. */
  interface Sink {

    /**
     * Takes the bytes, and owns them from then on.
     *
     * @return whether more are wanted now
     */
    boolean piece(ByteBuf bytes);

    /** No more follows. */
    void end();
  }

  private final Source source;
  private final IntConsumer heldBytesChange;
  private ByteBuf buffer = Unpooled.EMPTY_BUFFER;

  /** Null until the body is streamed, and after its sink has ended. */
  private Sink sink;

  private boolean complete;

  /** Whether nobody wants any more of it. */
  private boolean dropped;

  /**
   * @param source asked for more, or to pause
   * @param heldBytesChange notified by how many bytes more, or less, are kept
   */
  public RequestBody(Source source, IntConsumer heldBytesChange) {
    this.source = source;
    this.heldBytesChange = heldBytesChange;
  }

  /** A complete body of these bytes, which stay the caller's. */
  public static RequestBody of(ByteBuf bytes) {
    RequestBody body = new RequestBody(more -> {}, change -> {});
    body.add(bytes);
    body.end();
    return body;
  }

  /** More has come; the bytes are only lent. */
  public void add(ByteBuf bytes) {
    if (dropped || !bytes.isReadable()) {
      return;
    }
    if (sink != null) {
      boolean moreWanted = sink.piece(bytes.retain());
      source.wants(moreWanted);
      return;
    }
    int added = bytes.readableBytes();
    if (buffer == Unpooled.EMPTY_BUFFER) {
      buffer = Unpooled.buffer(added);
    }
    buffer.writeBytes(bytes);
    heldBytesChange.accept(added);
    if (exceedsBuffer()) {
      source.wants(false);
    }
  }

  /**
   * Its last byte has come. Prevents a connection that is never read again: the last bytes may be
   * those at which reading paused, and nobody will ask for more of this body. Cost: none.
   */
  public void end() {
    complete = true;
    source.wants(true);
    if (sink != null) {
      sink.end();
    }
  }

  /** Whether its last byte has come. */
  public boolean isComplete() {
    return complete;
  }

  /** Whether more is kept than is to be: it has to be streamed. */
  public boolean exceedsBuffer() {
    return buffer.readableBytes() > MAX_BUFFERED_BYTES;
  }

  /** What is kept, lent: all of the body where it is complete and was not streamed. */
  public ByteBuf buffered() {
    return buffer;
  }

  /** Streams what is kept, and from then on what comes. */
  void streamTo(Sink to) {
    sink = to;
    ByteBuf first = takeBuffer();
    boolean moreWanted = !first.isReadable() || to.piece(first);
    if (complete) {
      to.end();
    } else {
      source.wants(moreWanted);
    }
  }

  /** The sink takes more again. */
  void sinkWritable() {
    if (!complete && !dropped) {
      source.wants(true);
    }
  }

  /** A sink has ended: if the body was streamed to it, what is still to come goes nowhere. */
  void detach(Sink from) {
    if (sink != null && sink == from) {
      sink = null;
      dropped = true;
    }
  }

  /** Nothing of it is needed any more. May be called again. */
  public void release() {
    dropped = true;
    takeBuffer().release();
  }

  private ByteBuf takeBuffer() {
    ByteBuf taken = buffer;
    heldBytesChange.accept(-taken.readableBytes());
    buffer = Unpooled.EMPTY_BUFFER;
    return taken;
  }
}
