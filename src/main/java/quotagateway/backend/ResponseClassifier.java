package quotagateway.backend;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import quotagateway.policy.event.Status;
import quotagateway.transport.ProtocolHeaders;

/** Maps the head of a backend's response to the status of the attempt. */
final class ResponseClassifier {

  private ResponseClassifier() {}

  /**
   * Returns the status for a complete response that arrived after the last byte of the request was
   * written.
   */
  static Status classify(HttpResponse response) {
    HttpResponseStatus code = response.status();
    if (code.equals(HttpResponseStatus.OK)) {
      return Status.OK;
    }
    boolean mayReject =
        code.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
            || code.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
    if (mayReject && "1".equals(response.headers().get(ProtocolHeaders.NOT_STARTED))) {
      return Status.REJECTED;
    }
    return Status.ERROR;
  }

  /** Returns whether the response is informational (1xx) and precedes the final response. */
  static boolean isInformational(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /** Returns whether the response is delimited by a content length or by chunked encoding. */
  static boolean isFramed(HttpResponse response) {
    return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
  }

  /**
   * Returns whether the end of the response can be determined: by its framing, or by the close of
   * the connection if the response announces the close.
   */
  static boolean hasKnownEnd(HttpResponse response) {
    return isFramed(response) || !HttpUtil.isKeepAlive(response);
  }
}
