package quotagateway.client;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import quotagateway.backend.RequestBody;

/**
 * A request on its way in: its head, what has come of its body, and when. Belongs to one
 * connection, on the event loop's thread. Times are in milliseconds on the gateway's clock.
 */
final class InboundRequest {

  private final HttpRequest head;
  private final RequestBody body;
  private final boolean malformedHead;
  private double bodyStartedAtMs;
  private double lastByteAtMs;
  private double timeoutMs;
  private long bodyBytes;
  private boolean malformedBody;
  private boolean awaitsContinue;
  private boolean queued;
  private boolean accepted;

  /**
   * @param head as it was decoded; its decoder result may be a failure
   * @param body owned by this request until it is accepted
   * @param nowMs when the head was complete
   */
  InboundRequest(HttpRequest head, RequestBody body, double nowMs) {
    this.head = head;
    this.body = body;
    bodyStartedAtMs = nowMs;
    malformedHead = head.decoderResult().isFailure();
    awaitsContinue = !malformedHead && HttpUtil.is100ContinueExpected(head);
  }

  HttpRequest head() {
    return head;
  }

  RequestBody body() {
    return body;
  }

  /** What has come of the body, in bytes. */
  long bodyBytes() {
    return bodyBytes;
  }

  void countBodyBytes(int bytes) {
    bodyBytes += bytes;
  }

  /** The length that the head announces; 0 where it announces none. */
  long announcedBytes() {
    return HttpUtil.getContentLength(head, 0L);
  }

  boolean tooLarge() {
    return Math.max(bodyBytes, announcedBytes()) > RequestLimits.MAX_BODY_BYTES;
  }

  boolean malformed() {
    return malformedHead || malformedBody;
  }

  void setMalformedBody(boolean malformed) {
    malformedBody = malformed;
  }

  /** When the body began, later by as long as it was not read. */
  double bodyStartedAtMs() {
    return bodyStartedAtMs;
  }

  void extendBodyTime(double pauseMs) {
    bodyStartedAtMs += pauseMs;
  }

  /**
   * When its last byte came to this machine; for one whose body is still coming when its turn
   * comes, when it was queued.
   */
  double lastByteAtMs() {
    return lastByteAtMs;
  }

  void setLastByteAtMs(double atMs) {
    lastByteAtMs = atMs;
  }

  /** Whether its client waits for 100 Continue before it sends the body. */
  boolean awaitsContinue() {
    return awaitsContinue;
  }

  void continueSent() {
    awaitsContinue = false;
  }

  /** Whether it waits for its turn, or has had it. */
  boolean queued() {
    return queued;
  }

  void setQueued() {
    queued = true;
  }

  /** Whether the driver has it: the body then belongs to the driver. */
  boolean accepted() {
    return accepted;
  }

  void accept(double clientTimeoutMs) {
    timeoutMs = clientTimeoutMs;
    accepted = true;
  }

  /** When the client gives up, once the last byte has come. */
  double deadlineAtMs() {
    return lastByteAtMs + timeoutMs;
  }
}
