package quotagateway.client;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import quotagateway.backend.RequestBody;

/**
 * A request that is being received: its head, the received part of its body, and the time of each.
 * Belongs to one connection; confined to the event loop's thread. Times are in milliseconds on the
 * gateway's clock.
 */
final class InboundRequest {

  private final HttpRequest head;
  private final RequestBody body;
  private final boolean malformedHead;
  private final long declaredBodyBytes;
  private double bodyStartedAtMs;
  private double pausedMs;
  private double lastByteAtMs;
  private double timeoutMs;
  private long receivedBodyBytes;
  private boolean malformedBody;
  private boolean awaitsContinue;
  private boolean queued;
  private boolean accepted;

  /**
   * Creates a request from its head.
   *
   * @param head as it was decoded; its decoder result may be a failure
   * @param body owned by this request until it is accepted
   * @param nowMs when the head was complete
   */
  InboundRequest(HttpRequest head, RequestBody body, double nowMs) {
    this.head = head;
    this.body = body;
    bodyStartedAtMs = nowMs;
    malformedHead = head.decoderResult().isFailure();
    declaredBodyBytes = malformedHead ? 0 : HttpUtil.getContentLength(head, 0L);
    awaitsContinue = !malformedHead && HttpUtil.is100ContinueExpected(head);
  }

  HttpRequest head() {
    return head;
  }

  RequestBody body() {
    return body;
  }

  /** Returns the number of body bytes received so far. */
  long receivedBodyBytes() {
    return receivedBodyBytes;
  }

  void addReceivedBodyBytes(int bytes) {
    receivedBodyBytes += bytes;
  }

  /** Returns the body length that the head declares, or 0 if it declares none. */
  long declaredBodyBytes() {
    return declaredBodyBytes;
  }

  boolean isTooLarge() {
    return Math.max(receivedBodyBytes, declaredBodyBytes()) > RequestLimits.MAX_BODY_BYTES;
  }

  boolean isMalformed() {
    return malformedHead || malformedBody;
  }

  void setMalformedBody(boolean malformed) {
    malformedBody = malformed;
  }

  /** Returns when the body began, moved forward by the time for which reading was paused. */
  double bodyStartedAtMs() {
    return bodyStartedAtMs;
  }

  /** Records that reading was paused for some time before the next bytes of the body. */
  void recordPause(double pauseMs) {
    bodyStartedAtMs += pauseMs;
    if (mayBeWrittenWhole()) {
      pausedMs += pauseMs;
    }
  }

  /**
   * Returns for how long the client may have been waiting since it wrote the last byte: while
   * reading is paused, the rest of the body may be in the buffers of both kernels.
   *
   * @param currentPauseMs the time since reading was paused, 0 if it is not
   */
  double maxWaitMs(double currentPauseMs) {
    return pausedMs + (mayBeWrittenWhole() ? currentPauseMs : 0);
  }

  /** Returns whether the rest of the body fits into the buffers of the kernels. */
  private boolean mayBeWrittenWhole() {
    return declaredBodyBytes - receivedBodyBytes <= RequestLimits.MAX_KERNEL_BYTES;
  }

  /** Returns the time for which the client waits for the response; 0 before the acceptance. */
  double timeoutMs() {
    return timeoutMs;
  }

  /**
   * Returns when the client may have written the last byte of the request. Until that has been
   * received, for a request that was queued with an incomplete body, returns when it was queued.
   */
  double lastByteAtMs() {
    return lastByteAtMs;
  }

  void setLastByteAtMs(double atMs) {
    lastByteAtMs = atMs;
  }

  /** Returns whether the client waits for 100 Continue before it sends the body. */
  boolean awaitsContinue() {
    return awaitsContinue;
  }

  void markContinueSent() {
    awaitsContinue = false;
  }

  /** Returns whether the request waits for its turn or has had it. */
  boolean isQueued() {
    return queued;
  }

  void markQueued() {
    queued = true;
  }

  /** Returns whether the driver has accepted the request and owns its body. */
  boolean isAccepted() {
    return accepted;
  }

  /**
   * Marks the request as accepted. Its header fields are dropped, as the driver has those that are
   * forwarded.
   */
  void accept(double clientTimeoutMs) {
    timeoutMs = clientTimeoutMs;
    accepted = true;
    body.addOverhead(ConnectionMemory.ACCEPTED_REQUEST_BYTES);
    head.headers().clear();
  }

  /** Returns when the client gives up; valid once the last byte has been received. */
  double deadlineAtMs() {
    return lastByteAtMs + timeoutMs;
  }
}
