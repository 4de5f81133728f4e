package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * The response that a connection is receiving: its head, its body as far as that is kept, and
 * whether it is complete. Owns the buffer of the body until {@link #clear}. On the event loop's
 * thread.
 */
final class ReceivedResponse {

  /**
   * A response within this is kept whole before its client gets any of it, so that another
   * attempt's can take its place; a larger one is streamed.
   */
  static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Responses reach 32 MB; a length far beyond that is none. */
  private static final long MAX_ANNOUNCED_BYTES = 64 << 20;

  /** Informational responses (1xx) that may precede the response. */
  private static final int MAX_INFORMATIONAL = 16;

  private final ByteBufAllocator allocator;
  private HttpResponse head;
  private ByteBuf body;
  private boolean complete;
  private int informationalCount;

  ReceivedResponse(ByteBufAllocator allocator) {
    this.allocator = allocator;
  }

  /** The head, or null before it has come. */
  HttpResponse head() {
    return head;
  }

  boolean hasHead() {
    return head != null;
  }

  /** Whether the last byte has come. */
  boolean complete() {
    return complete;
  }

  /** Whether a head has come, of an informational response at least. */
  boolean hasBegun() {
    return head != null || informationalCount > 0;
  }

  /**
   * Begins with a head.
   *
   * @return false where that cannot be the response's, or one informational response too many
   */
  boolean begin(HttpResponse newHead) {
    if (ResponseClassifier.isInformational(newHead)) {
      informationalCount++;
      if (informationalCount > MAX_INFORMATIONAL) {
        return false;
      }
    } else if (!ResponseClassifier.hasKnownEnd(newHead)
        || announcedBytes(newHead) > MAX_ANNOUNCED_BYTES) {
      return false;
    }
    head = newHead;
    return true;
  }

  private static long announcedBytes(HttpResponse head) {
    return HttpUtil.getContentLength(head, 0L);
  }

  /** Whether by its announced length the body is too large to be kept. */
  boolean announcedTooLarge() {
    return announcedBytes(head) > MAX_BUFFERED_BYTES;
  }

  /** Makes room for a body that is kept. */
  void allocateBody() {
    body = allocator.buffer((int) announcedBytes(head));
  }

  /** Whether the body is kept with this piece as well. */
  boolean fits(HttpContent piece) {
    return body.readableBytes() + piece.content().readableBytes() <= MAX_BUFFERED_BYTES;
  }

  /** Keeps a piece of the body, which is only lent. */
  void append(HttpContent piece) {
    body.writeBytes(piece.content());
  }

  /** What is kept of the body, lent; null where nothing was to be kept. */
  ByteBuf body() {
    return body;
  }

  void markComplete() {
    complete = true;
  }

  /** The whole response that was kept; its caller has to release it. */
  FullHttpResponse toFullResponse() {
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        head.status(),
        body.retain(),
        head.headers(),
        EmptyHttpHeaders.INSTANCE);
  }

  /** Forgets the response, or an informational one ahead of it. */
  void clear() {
    head = null;
    complete = false;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  /** The next response belongs to another attempt. */
  void clearInformational() {
    informationalCount = 0;
  }
}
