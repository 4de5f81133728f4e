package quotagateway.backend;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import quotagateway.policy.event.Status;
import quotagateway.transport.ProtocolHeaders;

/** What the head of a backend's response means: the one place that maps it to a status. */
final class ResponseClassifier {

  private ResponseClassifier() {}

  /**
   * How a response that was received completely, behind the request's last byte, ends its attempt.
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

  /** Whether it is a 1xx: the response itself is still to come. */
  static boolean isInformational(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /** Whether the response itself says where it ends, by a length or by chunks. */
  static boolean isFramed(HttpResponse response) {
    return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
  }

  /**
   * Whether it can be known where the response ends: without framing by the end of the connection,
   * if that is announced.
   */
  static boolean hasKnownEnd(HttpResponse response) {
    return isFramed(response) || !HttpUtil.isKeepAlive(response);
  }
}
