package quotagateway.client;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import quotagateway.backend.RequestBody;
import quotagateway.transport.KernelSockets;

/**
 * Assembles the requests of one connection from decoded parts, within the limits on time and size,
 * and pauses reading where a body is not taken. A request is passed on once it is complete, or as
 * soon as it is known that it will be streamed or rejected. On the event loop's thread; times are
 * in milliseconds on the gateway's clock.
 */
final class RequestAssembler {

  /** What the connection does with the requests. */
  interface Listener {

    /** Whether the connection is closing: nothing that comes is a request any more. */
    boolean closing();

    /** Whether no earlier request is open or waits for its turn. */
    boolean idle();

    /** Whether as many requests wait for their turn as may. */
    boolean queueFull();

    /** A request may be handled: complete, or to be streamed or rejected. Called once for each. */
    void requestReady(InboundRequest request);

    /** The head of a request with a body has come. */
    void headReceived();

    /** The last byte of a request has come. */
    void requestComplete(InboundRequest request);

    /** The body of the request that is being received cannot be had to its end. */
    void bodyFailed(HttpResponseStatus status, String reason);

    /** Nothing further can be read from this client. */
    void unreadable(HttpResponseStatus status, String reason);

    /** Whether the client has closed the connection, as far as this machine can know. */
    boolean closeIfClientLeft();
  }

  private static final String MEMORY_EXHAUSTED = "too much is being received";

  private final Channel channel;
  private final ClientContext context;
  private final Listener listener;

  /** When the request that is being received began, or NaN. */
  private double receivingSinceMs = Double.NaN;

  private double lastReadAtMs;

  /** What has come of the head that is being received. */
  private int headBytes;

  /** The request whose head has come and whose body has not ended, or null. */
  private InboundRequest receiving;

  /** When reading was paused last. */
  private double pausedAtMs;

  /** Too many requests came at once: those queued are answered, and then the connection ends. */
  private boolean overrun;

  RequestAssembler(Channel channel, ClientContext context, Listener listener) {
    this.channel = channel;
    this.context = context;
    this.listener = listener;
  }

  /** When the request that is being received began, or NaN if there is none. */
  double receivingSinceMs() {
    return receivingSinceMs;
  }

  boolean receivesRequest() {
    return !Double.isNaN(receivingSinceMs);
  }

  /** When bytes came last. */
  double lastReadAtMs() {
    return lastReadAtMs;
  }

  /** The request whose body is still coming, or null. */
  InboundRequest receiving() {
    return receiving;
  }

  /** Whether requests came that are not answered any more. */
  boolean overrun() {
    return overrun;
  }

  /**
   * Called with the size of what has come, before it is decoded. Prevents a request from being read
   * after the connection has begun to close, as at a shutdown: what is read and then not answered
   * is lost, while an unread request is sent again by its client.
   *
   * @return false when nothing more is wanted, and the bytes are to be dropped
   */
  boolean bytesReceived(int bytes) {
    lastReadAtMs = context.now();
    if (listener.closing() || overrun) {
      return false;
    }
    if (!receivesRequest()) {
      receivingSinceMs = lastReadAtMs;
    }
    if (receiving == null) {
      boolean firstRead = headBytes == 0;
      headBytes += bytes;
      context.hold(bytes);
      if (context.memoryExhausted() && !firstRead) {
        listener.unreadable(HttpResponseStatus.SERVICE_UNAVAILABLE, MEMORY_EXHAUSTED);
        return false;
      }
    }
    return true;
  }

  /**
   * Called after that has been decoded.
   *
   * @param moreBuffered whether part of a further request is among it
   */
  void bytesDecoded(boolean moreBuffered) {
    if (moreBuffered && !receivesRequest()) {
      receivingSinceMs = context.now();
    }
  }

  /** The head's bytes are not held any more: it has been decoded, or the connection has ended. */
  void releaseHead() {
    context.hold(-headBytes);
    headBytes = 0;
  }

  /** Nothing is kept of a request that is being received, unless the driver has it. */
  void discard() {
    if (receiving != null && !receiving.accepted()) {
      receiving.body().release();
    }
  }

  /** Reads on, or leaves what the client sends to the kernel. */
  void setReading(boolean on) {
    if (on == channel.config().isAutoRead()) {
      return;
    }
    if (!on) {
      pausedAtMs = context.now();
    } else if (receiving != null) {
      receiving.extendBodyTime(context.now() - pausedAtMs);
    }
    channel.config().setAutoRead(on);
  }

  /** Takes the head of a request. */
  void onHead(HttpRequest head) {
    releaseHead();
    InboundRequest request =
        new InboundRequest(head, new RequestBody(this::setReading, context::hold), context.now());
    if (!listener.idle() && (listener.queueFull() || request.malformed())) {
      // Reading goes on, so that a client that leaves is noticed; the bound is on what is kept.
      overrun = true;
      return;
    }
    if (request.malformed()) {
      request.body().end();
      receivingSinceMs = Double.NaN;
      ready(request);
      return;
    }
    receiving = request;
    if (request.tooLarge() || request.announcedBytes() > RequestBody.MAX_BUFFERED_BYTES) {
      ready(request);
    }
    listener.headReceived();
  }

  /** Takes a piece of the body of the request whose head came last; the bytes are only lent. */
  void onContent(HttpContent content) {
    InboundRequest request = receiving;
    if (request == null) {
      return;
    }
    int bytes = content.content().readableBytes();
    boolean last = content instanceof LastHttpContent;
    request.countBodyBytes(bytes);
    if (last && request.accepted() && listener.closeIfClientLeft()) {
      // The client may have closed behind its body long ago. A backend that gets no last byte does
      // not begin.
      return;
    }
    if (content.decoderResult().isFailure() || (request.tooLarge() && request.accepted())) {
      rejectBody(request);
      return;
    }
    if (!request.queued() && request.bodyBytes() > bytes && context.memoryExhausted()) {
      listener.unreadable(HttpResponseStatus.SERVICE_UNAVAILABLE, MEMORY_EXHAUSTED);
      return;
    }
    request.body().add(content.content());
    if (last) {
      complete(request);
    } else if (request.body().exceedsBuffer()) {
      ready(request);
    }
  }

  private void rejectBody(InboundRequest request) {
    boolean tooLarge = request.tooLarge();
    request.setMalformedBody(!tooLarge);
    if (!request.accepted()) {
      ready(request);
    } else if (tooLarge) {
      listener.bodyFailed(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
    } else {
      listener.bodyFailed(HttpResponseStatus.BAD_REQUEST, "malformed body");
    }
  }

  private void complete(InboundRequest request) {
    receiving = null;
    receivingSinceMs = Double.NaN;
    request.setLastByteAtMs(context.now() - KernelSockets.msSinceLastReceive(channel));
    request.body().end();
    listener.requestComplete(request);
    ready(request);
  }

  private void ready(InboundRequest request) {
    if (request.queued()) {
      return;
    }
    request.setQueued();
    if (!request.body().isComplete()) {
      request.setLastByteAtMs(context.now());
    }
    listener.requestReady(request);
  }

  /**
   * Ends a request whose body comes too slowly, or is not taken. Prevents connections held for good
   * by clients that stop in the middle of a body and stay. Cost: a client slower than the limit
   * gets no response.
   *
   * @param requestStartedAtMs from when the client's time counts
   */
  void checkBodyProgress(double nowMs, double requestStartedAtMs) {
    double maxMs = RequestLimits.maxBodyMs(receiving.bodyBytes());
    if (!channel.config().isAutoRead()) {
      if (receiving.accepted() && nowMs - pausedAtMs > RequestLimits.MAX_STALL_MS) {
        listener.bodyFailed(HttpResponseStatus.SERVICE_UNAVAILABLE, "body is not taken");
      }
    } else if (nowMs - receiving.bodyStartedAtMs() > maxMs
        && nowMs - requestStartedAtMs > RequestLimits.MAX_HEAD_MS) {
      listener.bodyFailed(HttpResponseStatus.REQUEST_TIMEOUT, "body is not whole in time");
    }
  }
}
