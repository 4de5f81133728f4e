package quotagateway.client;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import quotagateway.transport.ProtocolHeaders;

/** Builds the head that a backend receives from the head of a client's request. */
final class ForwardedHead {

  /**
   * Headers that are forwarded to a backend; the timeout is updated when they are written. All
   * other headers concern only the client's connection.
   */
  private static final CharSequence[] FORWARDED_HEADERS = {
    HttpHeaderNames.HOST,
    ProtocolHeaders.REQUEST_ID,
    ProtocolHeaders.REQUEST_CLASS,
    ProtocolHeaders.IDEMPOTENCY_KEY,
    HttpHeaderNames.CONTENT_TYPE,
    ProtocolHeaders.TIMEOUT_MS
  };

  private ForwardedHead() {}

  /** Returns the request line, the forwarded headers and the framing. */
  static HttpRequest of(InboundRequest request) {
    HttpRequest head = request.head();
    HttpRequest forwarded =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), RequestReader.path(head.uri()));
    copyHeaders(head.headers(), forwarded.headers());
    setFraming(request, forwarded);
    return forwarded;
  }

  private static void copyHeaders(HttpHeaders from, HttpHeaders to) {
    for (CharSequence name : FORWARDED_HEADERS) {
      String value = from.get(name);
      if (value != null) {
        to.set(name, value);
      }
    }
  }

  private static void setFraming(InboundRequest request, HttpRequest forwarded) {
    long length = bodyLength(request);
    if (length < 0) {
      forwarded.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (length > 0 || forwarded.method().equals(HttpMethod.POST)) {
      forwarded.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
  }

  /** Returns the length of the body, or -1 while it is unknown. */
  private static long bodyLength(InboundRequest request) {
    return request.body().isComplete()
        ? request.body().buffered().readableBytes()
        : HttpUtil.getContentLength(request.head(), -1L);
  }
}
