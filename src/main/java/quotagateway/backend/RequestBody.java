package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.IntConsumer;

/**
 * The body of a request on its way from its client to a backend. Within the bound it is held whole,
 * so that it can go out again. A larger one is handed through as it comes, as fast as both sides
 * go, and not kept.
 */
public final class RequestBody {

  public static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Where it comes from. */
  public interface Source {
    void wants(boolean more);
  }

  /** Where it is handed on to. */
  interface Sink {
    /** Takes the bytes; true while more are wanted now. */
    boolean piece(ByteBuf bytes);

    void end();
  }

  private final Source source;
  private final IntConsumer account;
  private ByteBuf held = Unpooled.EMPTY_BUFFER;
  private Sink sink;
  private boolean whole;

  /** Nobody wants any more of it. */
  private boolean dropped;

  /** What is held of it, and given back, is told to the account. */
  public RequestBody(Source source, IntConsumer account) {
    this.source = source;
    this.account = account;
  }

  /** A whole body of these bytes. */
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
      source.wants(sink.piece(bytes.retain()));
      return;
    }
    int more = bytes.readableBytes();
    if (held == Unpooled.EMPTY_BUFFER) {
      held = Unpooled.buffer(more);
    }
    held.writeBytes(bytes);
    account.accept(more);
    if (exceedsBuffer()) {
      source.wants(false);
    }
  }

  /**
   * Its last byte has come. Guards against a connection that is never read again: the last bytes
   * may be those at which reading paused, and no room for more of this body will be told of any
   * more. Harm: none.
   */
  public void end() {
    whole = true;
    source.wants(true);
    if (sink != null) {
      sink.end();
    }
  }

  public boolean whole() {
    return whole;
  }

  /** More is held than is to be. */
  public boolean exceedsBuffer() {
    return held.readableBytes() > MAX_BUFFERED_BYTES;
  }

  /** All of it where it is whole; only lent. */
  public ByteBuf buffered() {
    return held;
  }

  /** Hands on what is held, and from then on what comes. */
  void passTo(Sink to) {
    sink = to;
    ByteBuf first = held;
    give();
    boolean more = !first.isReadable() || to.piece(first);
    if (whole) {
      to.end();
    } else {
      source.wants(more);
    }
  }

  /** The sink can be written again. */
  void wanted() {
    if (!whole && !dropped) {
      source.wants(true);
    }
  }

  /** The sink has ended: what is still to come goes nowhere. */
  void leave(Sink from) {
    if (sink != null && sink == from) {
      sink = null;
      dropped = true;
    }
  }

  /** Nothing of it is needed any more. */
  public void release() {
    dropped = true;
    ByteBuf last = held;
    give();
    last.release();
  }

  private void give() {
    account.accept(-held.readableBytes());
    held = Unpooled.EMPTY_BUFFER;
  }
}
