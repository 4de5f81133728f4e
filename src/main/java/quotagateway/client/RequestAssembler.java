package quotagateway.client;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import quotagateway.backend.RequestBody;
import quotagateway.transport.KernelSockets;

/**
 * Assembles the requests of one connection from decoded parts, enforces the limits on time and
 * size, and pauses reading while the bytes of a body are not consumed. A request is passed on once
 * it is complete, or as soon as it is known that it will be streamed or rejected. Confined to the
 * event loop's thread; times are in milliseconds on the gateway's clock.
 */
final class RequestAssembler implements RequestBody.Source {

  /** Receives the assembled requests; implemented by the connection. */
  interface Listener {

    /**
     * Returns whether the connection is closing; received bytes are then no longer treated as
     * requests.
     */
    boolean isClosing();

    /** Returns whether no earlier request is open or waits for its turn. */
    boolean isIdle();

    /** Returns whether the maximum number of requests wait for their turn. */
    boolean isQueueFull();

    /**
     * Called once for each request when it can be handled: it is complete, or is to be streamed or
     * rejected.
     */
    void onRequestReady(InboundRequest request);

    /**
     * Called when the head of a well-formed request has been received, before any of its body is
     * processed. Not called for a request that is dropped because the queue is full.
     */
    void onHeadReceived();

    /** Called when the last byte of a request has been received. */
    void onRequestComplete(InboundRequest request);

    /** Called when the rest of the body that is being received cannot be received. */
    void onBodyFailed(HttpResponseStatus status, String reason);

    /** Called at each check while the backend has taken nothing of the body for a while. */
    void onBodyStalled(double stalledMs);

    /** Called when the rest of the body waits for its backend for too long. */
    void onBodyTooLate();

    /** Called when nothing further can be read from this client. */
    void onInputRejected(HttpResponseStatus status, String reason);

    /**
     * Closes the connection if the client has closed it, even if the close has not been read yet,
     * and returns whether the connection is closed. A close that has not reached this machine yet
     * is not noticed.
     */
    boolean closeIfClientDisconnected();
  }

  private static final String MEMORY_EXHAUSTED = "too much is being received";

  private final Channel channel;
  private final ClientContext context;
  private final ConnectionMemory memory;
  private final Listener listener;

  /** When the request that is being received began, or NaN. */
  private double receivingSinceMs = Double.NaN;

  private double lastReadAtMs = Double.NEGATIVE_INFINITY;

  /** The request whose head has been received and whose body is incomplete, or null. */
  private InboundRequest incompleteRequest;

  /** When reading was last paused. */
  private double pausedAtMs;

  /**
   * Whether too many requests arrived at once: those that are queued are answered, and then the
   * connection is closed.
   */
  private boolean pipelineOverflowed;

  RequestAssembler(
      Channel channel, ClientContext context, ConnectionMemory memory, Listener listener) {
    this.channel = channel;
    this.context = context;
    this.memory = memory;
    this.listener = listener;
  }

  /** Returns when the request that is being received began, or NaN if there is none. */
  double receivingSinceMs() {
    return receivingSinceMs;
  }

  boolean isReceivingRequest() {
    return !Double.isNaN(receivingSinceMs);
  }

  /** Returns when bytes were last received; negative infinity if none were. */
  double lastReadAtMs() {
    return lastReadAtMs;
  }

  /** Returns the request whose head has been received and whose body is incomplete, or null. */
  InboundRequest incompleteRequest() {
    return incompleteRequest;
  }

  /** Returns whether requests arrived that will not be answered because too many were pipelined. */
  boolean hasPipelineOverflowed() {
    return pipelineOverflowed;
  }

  /**
   * Records received bytes before they are decoded. Once the connection has begun to close, for
   * example at a shutdown, no further request is read: a request that is read and not answered is
   * lost, while a client sends an unread request again.
   *
   * @return false if no more input is wanted and the bytes have to be dropped
   */
  boolean bytesReceived() {
    lastReadAtMs = context.now();
    if (listener.isClosing() || pipelineOverflowed) {
      return false;
    }
    boolean beginsRequest = !isReceivingRequest();
    if (beginsRequest) {
      receivingSinceMs = lastReadAtMs;
    }
    boolean mayBeAnswered = beginsRequest && (listener.isIdle() || memory.isSmall());
    if (incompleteRequest == null && context.isMemoryExhausted() && !mayBeAnswered) {
      rejectInput();
      return false;
    }
    return true;
  }

  /**
   * Called after the received bytes have been decoded.
   *
   * @param moreBuffered whether they include part of a further request
   * @param decodingBytes memory of what has not been passed on yet
   */
  void bytesDecoded(boolean moreBuffered, int decodingBytes) {
    memory.setDecodingBytes(decodingBytes);
    if (moreBuffered && !isReceivingRequest()) {
      receivingSinceMs = context.now();
    }
  }

  /** Releases the body of the request that is being received, unless the driver owns it. */
  void discardIncompleteRequest() {
    if (incompleteRequest != null && !incompleteRequest.isAccepted()) {
      incompleteRequest.body().release();
    }
  }

  /**
   * Resumes reading, or pauses it and leaves what the client sends in the kernel's receive buffer.
   */
  @Override
  public void setReading(boolean on) {
    if (on == channel.config().isAutoRead()) {
      return;
    }
    if (!on) {
      pausedAtMs = context.now();
    } else if (incompleteRequest != null) {
      incompleteRequest.recordPause(context.now() - pausedAtMs);
    }
    channel.config().setAutoRead(on);
  }

  @Override
  public boolean mayReadAhead() {
    return memory.mayReadAhead();
  }

  /** Processes the head of a request. */
  void onHead(HttpRequest head) {
    InboundRequest request =
        new InboundRequest(head, new RequestBody(this, memory::adjustRequestBytes), context.now());
    if (!listener.isIdle() && (listener.isQueueFull() || request.isMalformed())) {
      // Reading continues so that a disconnect of the client is noticed; the limit applies to what
      // is kept.
      pipelineOverflowed = true;
      return;
    }
    request.body().addOverhead(ConnectionMemory.requestBytes(head));
    if (request.isMalformed()) {
      request.body().end();
      receivingSinceMs = Double.NaN;
      enqueue(request);
      return;
    }
    incompleteRequest = request;
    if (request.isTooLarge() || request.declaredBodyBytes() > RequestBody.MAX_BUFFERED_BYTES) {
      enqueue(request);
    }
    listener.onHeadReceived();
  }

  /**
   * Processes a piece of the body of the request whose head was received last. The caller keeps
   * ownership of the bytes.
   */
  void onContent(HttpContent content) {
    InboundRequest request = incompleteRequest;
    if (request == null) {
      return;
    }
    int bytes = content.content().readableBytes();
    boolean last = content instanceof LastHttpContent;
    request.addReceivedBodyBytes(bytes);
    if (last && request.isAccepted() && listener.closeIfClientDisconnected()) {
      // The client may have closed the connection after its body long before the body is read. A
      // backend that does not get the last byte does not execute the request.
      return;
    }
    if (content.decoderResult().isFailure() || (request.isTooLarge() && request.isAccepted())) {
      rejectBody(request);
      return;
    }
    if (!request.isQueued() && request.receivedBodyBytes() > bytes && context.isMemoryExhausted()) {
      rejectInput();
      return;
    }
    request.body().add(content.content());
    if (last) {
      completeRequest(request);
    } else if (request.body().exceedsBuffer()) {
      enqueue(request);
    }
  }

  /**
   * Rejects what is being received because too much memory is held. Behind a request that has not
   * been answered, an error could get into the middle of its response, so the connection is closed
   * after that response instead.
   */
  private void rejectInput() {
    if (listener.isIdle()) {
      listener.onInputRejected(HttpResponseStatus.SERVICE_UNAVAILABLE, MEMORY_EXHAUSTED);
    } else {
      dropInput();
    }
  }

  /**
   * Drops what is being received and all that follows. The connection is closed after the responses
   * to the requests before it.
   */
  void dropInput() {
    pipelineOverflowed = true;
    discardIncompleteRequest();
    incompleteRequest = null;
    receivingSinceMs = Double.NaN;
  }

  private void rejectBody(InboundRequest request) {
    boolean tooLarge = request.isTooLarge();
    request.setMalformedBody(!tooLarge);
    if (!request.isAccepted()) {
      enqueue(request);
    } else if (tooLarge) {
      listener.onBodyFailed(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
    } else {
      listener.onBodyFailed(HttpResponseStatus.BAD_REQUEST, "malformed body");
    }
  }

  private void completeRequest(InboundRequest request) {
    incompleteRequest = null;
    receivingSinceMs = Double.NaN;
    double waitedMs = Math.max(KernelSockets.msSinceLastReceive(channel), request.maxWaitMs(0));
    request.setLastByteAtMs(context.now() - waitedMs);
    request.body().end();
    listener.onRequestComplete(request);
    enqueue(request);
  }

  private void enqueue(InboundRequest request) {
    if (request.isQueued()) {
      return;
    }
    request.markQueued();
    if (!request.body().isComplete()) {
      request.setLastByteAtMs(context.now());
    }
    listener.onRequestReady(request);
  }

  /**
   * Ends a request whose body arrives too slowly or is not taken by its backend. Without this,
   * clients that stop in the middle of a body and stay connected would hold connections forever,
   * and those that have sent all of it would get no response while the backend hangs. The drawback
   * is that a client slower than the limit is not served.
   *
   * @param requestStartedAtMs when the client's time for the request began
   */
  void checkBodyProgress(double nowMs, double requestStartedAtMs) {
    InboundRequest request = incompleteRequest;
    double pauseMs = channel.config().isAutoRead() ? 0 : nowMs - pausedAtMs;
    double maxMs = RequestLimits.maxBodyMs(request.receivedBodyBytes());
    if (request.isAccepted()
        && RequestLimits.isBodyTooLate(request.timeoutMs(), request.maxWaitMs(pauseMs))) {
      listener.onBodyTooLate();
    } else if (request.isAccepted() && RequestLimits.isBodyStalled(request.timeoutMs(), pauseMs)) {
      listener.onBodyStalled(pauseMs);
    } else if (pauseMs == 0
        && nowMs - request.bodyStartedAtMs() > maxMs
        && nowMs - requestStartedAtMs > RequestLimits.MAX_HEAD_MS) {
      listener.onBodyFailed(HttpResponseStatus.REQUEST_TIMEOUT, "body is not whole in time");
    }
  }
}
