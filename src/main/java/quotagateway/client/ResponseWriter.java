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

/**
 * Builds responses and writes them to one client, complete or streamed with back pressure: a client
 * that reads slowly stops the backend's response, so that it is not kept here. On the event loop's
 * thread.
 */
final class ResponseWriter {

  private final Channel channel;
  private final ClientContext context;

  /** Since when the client takes nothing of a streamed response, in milliseconds, or NaN. */
  private double stalledSinceMs = Double.NaN;

  ResponseWriter(Channel channel, ClientContext context) {
    this.channel = channel;
    this.context = context;
  }

  /** A response without a body. */
  static FullHttpResponse empty(HttpResponseStatus status) {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
  }

  /** A response whose body is one line of text. */
  static FullHttpResponse text(HttpResponseStatus status, String line) {
    ByteBuf text = Unpooled.copiedBuffer(line + "\n", StandardCharsets.US_ASCII);
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
  }

  /**
   * A rejection: 429 with the advice when to come back, or 503 where there is none.
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

  /** A backend's response as its client gets it; retains the content. */
  static FullHttpResponse forwarded(FullHttpResponse fromBackend) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, fromBackend.content().retain());
    copyContentType(fromBackend, response);
    return response;
  }

  /**
   * The head of a streamed response. Without a length and without chunks, to a client of HTTP/1.0,
   * the end of the connection is the end of the response.
   *
   * @param chunks whether the client knows chunks
   */
  static HttpResponse streamHead(HttpResponse fromBackend, boolean chunks) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    copyContentType(fromBackend, head);
    if (HttpUtil.isContentLengthSet(fromBackend)) {
      long length = HttpUtil.getContentLength(fromBackend);
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    } else if (chunks) {
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

  /** States in a response whether its connection is kept, where its client would not know. */
  private static void announcePersistence(
      HttpResponse response, boolean kept, HttpVersion clientVersion) {
    if (!kept) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (!clientVersion.isKeepAliveDefault()) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  /** Writes a complete response; takes it over. */
  ChannelFuture write(FullHttpResponse response, boolean kept, HttpVersion clientVersion) {
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    announcePersistence(response, kept, clientVersion);
    return channel.writeAndFlush(response);
  }

  /** Writes the last response of a connection, whatever request it answers. */
  ChannelFuture writeFinalError(HttpResponseStatus status, String reason) {
    FullHttpResponse response = text(status, reason);
    return write(response, false, HttpVersion.HTTP_1_1);
  }

  /** Has the client send the body that it keeps back (100 Continue). */
  void writeContinue() {
    channel.writeAndFlush(empty(HttpResponseStatus.CONTINUE));
  }

  /** Begins a streamed response. */
  void writeStreamHead(HttpResponse head, boolean kept, HttpVersion clientVersion) {
    announcePersistence(head, kept, clientVersion);
    channel.writeAndFlush(head);
  }

  /**
   * Writes a piece of it, which is only lent.
   *
   * @return false while the client takes no more
   */
  boolean writePiece(HttpContent piece) {
    channel.writeAndFlush(piece.retain());
    if (!channel.isWritable() && Double.isNaN(stalledSinceMs)) {
      stalledSinceMs = context.now();
    }
    return channel.isWritable();
  }

  /** The client takes more, or the streamed response has ended. */
  void clearStall() {
    stalledSinceMs = Double.NaN;
  }

  /** Whether the client has taken nothing of a streamed response for too long. */
  boolean stalledTooLong(double nowMs) {
    return nowMs - stalledSinceMs > RequestLimits.MAX_STALL_MS;
  }
}
