package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import quotagateway.transport.MemoryPool;
import quotagateway.transport.StreamWriter;

/**
 * Builds responses and writes them to one client, either complete or streamed with back pressure:
 * while a client reads slowly, the backend's response is not read, so that it does not accumulate
 * in memory. Confined to the event loop's thread.
 */
final class ResponseWriter {

  private final ClientContext context;
  private final Runnable unblockedListener;
  private final StreamWriter output;

  /** Since when the client's socket has not taken what was written, in milliseconds, or NaN. */
  private double stalledSinceMs = Double.NaN;

  /**
   * Creates a writer for one connection.
   *
   * @param unblockedListener called when the client's socket has taken everything again
   */
  ResponseWriter(Channel channel, ClientContext context, Runnable unblockedListener) {
    this.context = context;
    this.unblockedListener = unblockedListener;
    output = new StreamWriter(channel, this::onProgress);
  }

  /** Returns a response without a body. */
  static FullHttpResponse empty(HttpResponseStatus status) {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
  }

  /** Returns a response whose body is one line of text. */
  static FullHttpResponse text(HttpResponseStatus status, String line) {
    ByteBuf text = Unpooled.copiedBuffer(line + "\n", StandardCharsets.US_ASCII);
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
  }

  /**
   * Returns a rejection: a 429 that advises the client when to retry, or a 503 without advice.
   *
   * @param retryAfterMs 0 for no advice
   */
  static FullHttpResponse rejection(double retryAfterMs) {
    if (retryAfterMs > 0) {
      FullHttpResponse response = empty(HttpResponseStatus.TOO_MANY_REQUESTS);
      String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000);
      response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
      return response;
    }
    return empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  /** Returns the client's version of a backend's response; retains the content. */
  static FullHttpResponse forwarded(FullHttpResponse backendResponse) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, backendResponse.content().retain());
    copyContentType(backendResponse, response);
    return response;
  }

  /**
   * Returns the head of a streamed response. For an HTTP/1.0 client and a response of unknown
   * length, the head has no framing, and the end of the connection marks the end of the response.
   *
   * @param supportsChunked whether the client supports chunked transfer encoding
   */
  static HttpResponse streamHead(HttpResponse backendResponse, boolean supportsChunked) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    copyContentType(backendResponse, head);
    if (HttpUtil.isContentLengthSet(backendResponse)) {
      long length = HttpUtil.getContentLength(backendResponse);
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    } else if (supportsChunked) {
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    return head;
  }

  private static void copyContentType(HttpResponse from, HttpResponse to) {
    String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
    if (type != null) {
      to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    }
  }

  /**
   * Sets the Connection header if the client's HTTP version does not already imply whether the
   * connection is kept alive.
   */
  private static void setConnectionHeader(
      HttpResponse response, boolean keepAlive, HttpVersion clientVersion) {
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (!clientVersion.isKeepAliveDefault()) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  /**
   * Writes a complete response and takes ownership of it. Its memory counts as held until the
   * client's socket has taken the response.
   */
  ChannelFuture write(FullHttpResponse response, boolean keepAlive, HttpVersion clientVersion) {
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    setConnectionHeader(response, keepAlive, clientVersion);
    int heldBytes = response.content().capacity();
    ChannelFuture written = output.write(response);
    if (!written.isDone()) {
      MemoryPool memory = context.memory().unread();
      memory.reserve(heldBytes);
      written.addListener(done -> memory.release(heldBytes));
    }
    watchStall();
    return written;
  }

  /** Returns whether the client's socket has not taken everything that was written. */
  boolean isBlocked() {
    return output.isBlocked();
  }

  /** Runs a task once the client's socket has taken everything that was written, or is closed. */
  void whenUnblocked(Runnable task) {
    output.whenUnblocked(task);
  }

  /** Returns the future of the last write, or null before the first. */
  ChannelFuture lastWrite() {
    return output.lastWrite();
  }

  /** Writes the last response of a connection, regardless of which request it answers. */
  ChannelFuture writeFinalError(HttpResponseStatus status, String reason) {
    FullHttpResponse response = text(status, reason);
    return write(response, false, HttpVersion.HTTP_1_1);
  }

  /** Sends 100 Continue, so that the client sends the body that it is holding back. */
  void writeContinue() {
    output.write(empty(HttpResponseStatus.CONTINUE));
  }

  /** Writes the head of a streamed response. */
  void writeStreamHead(HttpResponse head, boolean keepAlive, HttpVersion clientVersion) {
    setConnectionHeader(head, keepAlive, clientVersion);
    output.write(head);
    watchStall();
  }

  /**
   * Writes a piece of a streamed response. The caller keeps its reference to the piece.
   *
   * @return false while the client accepts no more
   */
  boolean writeContent(HttpContent content) {
    boolean moreAccepted = output.writeContent(content.retain());
    watchStall();
    return moreAccepted;
  }

  private void watchStall() {
    if (!isBlocked()) {
      stalledSinceMs = Double.NaN;
    } else if (Double.isNaN(stalledSinceMs)) {
      stalledSinceMs = context.now();
    }
  }

  /** Called when the client's socket has taken a write that had to wait. */
  private void onProgress() {
    stalledSinceMs = Double.NaN;
    watchStall();
    if (!isBlocked()) {
      unblockedListener.run();
    }
  }

  /** Returns whether the client has not been reading its response for too long. */
  boolean isStalledTooLong(double nowMs) {
    return nowMs - stalledSinceMs > RequestLimits.MAX_STALL_MS;
  }
}
