package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import quotagateway.transport.BufferGrowth;
import quotagateway.transport.MemoryPool;

/**
 * The response that a connection is receiving: its head, the buffered part of its body, and whether
 * it is complete. Owns the body buffer until {@link #clear}. Confined to the event loop's thread.
 */
final class ReceivedResponse {

  /**
   * Maximum body size that is buffered completely before the client gets any of it, so that another
   * attempt's response can replace it. Larger responses are streamed.
   */
  static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /**
   * Maximum accepted {@code Content-Length}. Responses reach 32 MB; a far larger length is treated
   * as malformed.
   */
  private static final long MAX_CONTENT_LENGTH_BYTES = 64 << 20;

  /** Maximum number of informational responses (1xx) before the response. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 16;

  private final ByteBufAllocator allocator;
  private final MemoryPool memory;
  private HttpResponse head;
  private ByteBuf body;
  private boolean complete;
  private int informationalCount;

  /** Bytes of the body's buffer that are counted in the pool. */
  private int countedBytes;

  /**
   * Creates an empty response.
   *
   * @param memory the memory of buffered responses
   */
  ReceivedResponse(ByteBufAllocator allocator, MemoryPool memory) {
    this.allocator = allocator;
    this.memory = memory;
  }

  /** Returns the head, or null if it has not been received. */
  HttpResponse head() {
    return head;
  }

  boolean hasHead() {
    return head != null;
  }

  /** Returns whether the last byte of the response has been received. */
  boolean isComplete() {
    return complete;
  }

  /** Returns whether any head has been received, including those of informational responses. */
  boolean hasStarted() {
    return head != null || informationalCount > 0;
  }

  /**
   * Starts a response, or an informational one, with its head.
   *
   * @return false if the head is not acceptable: its end cannot be determined, its announced length
   *     is too large, or there have been too many informational responses
   */
  boolean start(HttpResponse newHead) {
    if (ResponseClassifier.isInformational(newHead)) {
      informationalCount++;
      if (informationalCount > MAX_INFORMATIONAL_RESPONSES) {
        return false;
      }
    } else if (!ResponseClassifier.hasKnownEnd(newHead)
        || contentLength(newHead) > MAX_CONTENT_LENGTH_BYTES) {
      return false;
    }
    head = newHead;
    return true;
  }

  private static long contentLength(HttpResponse head) {
    return HttpUtil.getContentLength(head, 0L);
  }

  /** Returns whether the announced length of the body is too large to buffer. */
  boolean isTooLargeToBuffer() {
    return contentLength(head) > MAX_BUFFERED_BYTES;
  }

  /** Prepares the buffer for the body, which takes memory only for what is received. */
  void prepareBody() {
    body = Unpooled.EMPTY_BUFFER;
  }

  /**
   * Counts the memory of what has been received of the body. To be called for each read that leaves
   * a buffered response incomplete; one that is complete after one read is passed on before
   * anything else is read.
   *
   * @return false if too much is held, so that no more of the response may be read
   */
  boolean countMemory() {
    int addedBytes = uncountedBytes();
    countedBytes += addedBytes;
    return memory.reserve(addedBytes);
  }

  /** Returns whether the body including this piece is small enough to buffer. */
  boolean fitsBuffer(HttpContent piece) {
    return body.readableBytes() + piece.content().readableBytes() <= MAX_BUFFERED_BYTES;
  }

  /** Copies a piece of the body, which the caller keeps owning, to the buffer. */
  void append(HttpContent piece) {
    int bytes = piece.content().readableBytes();
    if (body.capacity() == 0 && bytes > 0) {
      body = allocator.buffer(bytes);
    }
    BufferGrowth.ensureWritable(body, bytes);
    body.writeBytes(piece.content());
  }

  /**
   * Returns the buffered part of the body, which this object still owns, or null before the head
   * and after the release of the buffer.
   */
  ByteBuf body() {
    return body;
  }

  void markComplete() {
    complete = true;
  }

  /** Returns the complete buffered response, which the caller has to release. */
  FullHttpResponse toFullResponse() {
    return new DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        head.status(),
        body.retain(),
        head.headers(),
        EmptyHttpHeaders.INSTANCE);
  }

  /** Returns how much memory of the body is not counted yet. */
  int uncountedBytes() {
    return body.capacity() - countedBytes;
  }

  /** Discards the response, or an informational one that precedes it. */
  void clear() {
    clearKeepingMemory();
    releaseMemory();
  }

  /**
   * Discards the response, whose body has another owner from now on. Its memory counts until {@link
   * #releaseMemory}.
   */
  void clearKeepingMemory() {
    head = null;
    complete = false;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  /** Releases the buffered part of the body. */
  void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
    releaseMemory();
  }

  /** Stops counting memory. */
  void releaseMemory() {
    int releasedBytes = countedBytes;
    countedBytes = 0;
    if (releasedBytes > 0) {
      memory.release(releasedBytes);
    }
  }

  /** Resets the count of informational responses for the next attempt. */
  void resetInformationalCount() {
    informationalCount = 0;
  }
}
