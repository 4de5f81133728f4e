package quotagateway.client;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.logging.Level;
import java.util.logging.Logger;
import quotagateway.backend.Attempt;
import quotagateway.driver.ResponseListener;
import quotagateway.policy.event.RequestReceived;
import quotagateway.transport.EventLog;
import quotagateway.transport.LogEvent;
import quotagateway.transport.PeerMemory;
import quotagateway.transport.ProtocolHeaders;

/**
 * One request and its single final response. The exchange either responds by itself or passes the
 * request to the {@link quotagateway.driver.PolicyDriver}, which then owns the request body and
 * reports the response through {@link ResponseListener}. Confined to the event loop's thread.
 *
 * <p>State transitions: {@code LOCAL} to {@code FORWARDED} when the request is passed to the
 * driver; {@code FORWARDED} to {@code STREAMING} when the response is streamed; {@code FORWARDED}
 * and {@code STREAMING} to {@code ENDED}, only through {@link #end}. A request that the exchange
 * answers itself stays {@code LOCAL}.
 */
final class Exchange implements ResponseListener {

  private static final Logger LOG = Logger.getLogger(Exchange.class.getName());

  /** Path of the readiness check, which the gateway answers itself. */
  private static final String READINESS_PATH = "/up";

  /** Progress of an exchange between its request and its final response. */
  private enum State {
    /**
     * The driver does not have the request: it has not been processed yet, or the exchange answers
     * it.
     */
    LOCAL,
    /** The driver has the request, and the final response has not started. */
    FORWARDED,
    /** The head of the response has been written; the body is being streamed. */
    STREAMING,
    /** The final response is complete, or the client no longer gets one. */
    ENDED
  }

  private final InboundRequest request;
  private final ClientConnection connection;
  private final ClientContext context;
  private final ResponseWriter writer;
  private State state = State.LOCAL;

  /** Null until the request has been read. */
  private String requestId;

  /** Whether memory is reserved for a body or response of this exchange that is streamed. */
  private boolean streamMemoryReserved;

  /** Attempt whose response is being streamed; null unless the response is streamed. */
  private Attempt streamedAttempt;

  /**
   * Whether the client's headers, and everything found since, allow the connection to be kept
   * alive.
   */
  private boolean keepAlive;

  Exchange(
      InboundRequest request,
      ClientConnection connection,
      ClientContext context,
      ResponseWriter writer) {
    this.request = request;
    this.connection = connection;
    this.context = context;
    this.writer = writer;
    keepAlive = HttpUtil.isKeepAlive(request.head());
  }

  InboundRequest request() {
    return request;
  }

  /**
   * Returns whether the driver has the request and the client still waits for the response or for
   * the rest of it.
   */
  boolean isOpen() {
    return state == State.FORWARDED || state == State.STREAMING;
  }

  /**
   * Returns whether the client and the framing of the request allow the connection to be kept
   * alive.
   */
  boolean allowsKeepAlive() {
    return keepAlive && request.body().isComplete();
  }

  /**
   * Answers the request or passes it to the driver.
   *
   * @param overBudget whether the connection exceeds the connection budget
   */
  void start(boolean overBudget) {
    try {
      if (request.isMalformed()) {
        connection.closer().closeWithError(HttpResponseStatus.BAD_REQUEST, "malformed request");
      } else if (request.isTooLarge()) {
        connection
            .closer()
            .closeWithError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      } else if (request.head().uri().equals(READINESS_PATH)) {
        respond(ResponseWriter.empty(readiness()));
      } else if (overBudget) {
        keepAlive = false;
        reject("OVER_CONNECTION_BUDGET");
      } else if (context.isShutDown()) {
        reject("SHUTTING_DOWN");
      } else if (context.isMemoryExhausted()) {
        reject("MEMORY_EXHAUSTED");
      } else {
        forward();
      }
    } catch (RuntimeException e) {
      // A bug anywhere in request handling fails only this request.
      failInternally(e);
    } finally {
      if (!request.isAccepted()) {
        request.body().release();
      }
    }
  }

  private void reject(String reason) {
    logRejection(reason);
    respond(ResponseWriter.rejection(0));
  }

  private void logRejection(String reason) {
    EventLog.current()
        .line(LogEvent.REQUEST_REJECTED, reason)
        .with("request", requestId())
        .with("bytes", request.receivedBodyBytes())
        .write();
  }

  /** Returns the request's identifier; empty if it states none. */
  String requestId() {
    if (requestId != null) {
      return requestId;
    }
    String header = request.head().headers().get(ProtocolHeaders.REQUEST_ID);
    return header == null ? "" : header;
  }

  private HttpResponseStatus readiness() {
    if (!request.head().method().equals(HttpMethod.GET)) {
      return HttpResponseStatus.METHOD_NOT_ALLOWED;
    }
    return context.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  private void forward() {
    RequestReceived received;
    try {
      received = context.read(request.head(), request.lastByteAtMs());
    } catch (InvalidRequestException e) {
      keepAlive &= e.isConnectionReusable();
      logRejection(e.getMessage());
      respond(ResponseWriter.text(e.status(), e.getMessage()));
      return;
    }
    boolean complete = request.body().isComplete();
    if (!complete && !reserveStreamMemory()) {
      reject("NO_STREAM_MEMORY");
      return;
    }
    HttpRequest forwardedHead = ForwardedHead.of(request);
    request.accept(received.deadlineAtMs() - request.lastByteAtMs());
    requestId = received.requestId();
    state = State.FORWARDED;
    context
        .driver()
        .accept(
            complete ? received : received.withoutDeadline(), forwardedHead, request.body(), this);
  }

  /**
   * Called when the last byte of the request has been received; reports the deadline to the driver
   * if the exchange is open.
   */
  void onRequestComplete() {
    if (isOpen()) {
      context.driver().onBodyComplete(requestId, request.deadlineAtMs());
    }
  }

  /** Called while the backend takes nothing of the body. */
  void onBodyStalled(double stalledMs) {
    if (isOpen()) {
      context.driver().onBodyStalled(requestId, stalledMs);
    }
  }

  /** Called when the body has waited for its backend for too long; rejects the request. */
  void onBodyTooLate() {
    if (isOpen()) {
      context.driver().onBodyTooLate(requestId);
    }
  }

  /**
   * Fails the request if its response has not begun, and closes the connection behind the error.
   *
   * @return whether the client gets an error
   */
  boolean failForOverload() {
    if (state != State.FORWARDED) {
      return false;
    }
    keepAlive = false;
    context.driver().failForOverload(requestId);
    return true;
  }

  private void failInternally(RuntimeException cause) {
    LOG.log(Level.SEVERE, "request failed", cause);
    if (isOpen()) {
      context.driver().onClientDisconnected(requestId);
      end();
      respond(ResponseWriter.empty(HttpResponseStatus.INTERNAL_SERVER_ERROR));
    } else {
      connection.closer().closeImmediately(CloseReason.INTERNAL_ERROR);
    }
  }

  private void respond(FullHttpResponse response) {
    connection.respond(this, response);
  }

  /** Enters the final state. No other method does so, and no transition leaves this state. */
  private void end() {
    state = State.ENDED;
    streamedAttempt = null;
    if (streamMemoryReserved) {
      writer.whenUnblocked(this::releaseStreamMemory);
    }
  }

  /** Returns the memory once the client's socket has taken the end of the response, or closed. */
  private void releaseStreamMemory() {
    if (streamMemoryReserved) {
      streamMemoryReserved = false;
      context.memory().streams().release(PeerMemory.STREAM_BYTES);
    }
  }

  /** Called when the connection has closed; no response can be written any more. */
  void onConnectionClosed() {
    if (isOpen()) {
      end();
      context.driver().onClientDisconnected(requestId);
    }
  }

  /**
   * Abandons the request because the rest of it cannot be received. No backend receives the
   * complete request, and a response that is being streamed is cut off.
   */
  void abandonRequest() {
    if (state == State.FORWARDED) {
      end();
      context.driver().onClientDisconnected(requestId);
    } else if (state == State.STREAMING) {
      // The driver ends this exchange by calling onResponseEnd.
      context.driver().onClientDisconnected(requestId);
    }
  }

  /** Called when the client reads more of a streamed response. */
  void resume() {
    if (state == State.STREAMING) {
      streamedAttempt.resume();
    }
  }

  @Override
  public boolean endIfDisconnected() {
    boolean disconnected = connection.closeIfClientDisconnected();
    if (disconnected) {
      end();
    }
    return disconnected;
  }

  @Override
  public void onResponse(FullHttpResponse backendResponse) {
    end();
    respond(ResponseWriter.forwarded(backendResponse));
  }

  @Override
  public boolean reserveStreamMemory() {
    if (!streamMemoryReserved && state != State.ENDED) {
      streamMemoryReserved = context.memory().streams().tryReserve(PeerMemory.STREAM_BYTES);
    }
    return streamMemoryReserved || state == State.ENDED;
  }

  @Override
  public void onResponseStart(HttpResponse backendResponse, Attempt attempt) {
    state = State.STREAMING;
    streamedAttempt = attempt;
    HttpVersion clientVersion = request.head().protocolVersion();
    boolean supportsChunked = clientVersion.isKeepAliveDefault();
    if (!supportsChunked && !HttpUtil.isContentLengthSet(backendResponse)) {
      // The end of the connection marks the end of the response.
      keepAlive = false;
    }
    HttpResponse head = ResponseWriter.streamHead(backendResponse, supportsChunked);
    keepAlive = connection.isKeptAliveAfter(this);
    writer.writeStreamHead(head, keepAlive, clientVersion);
  }

  @Override
  public boolean onResponseContent(HttpContent content) {
    return state == State.STREAMING && writer.writeContent(content);
  }

  @Override
  public void onResponseEnd(boolean complete) {
    if (state == State.STREAMING) {
      end();
      connection.onStreamEnded(complete, keepAlive);
    }
  }

  @Override
  public void onRejected(double retryAfterMs) {
    end();
    respond(ResponseWriter.rejection(retryAfterMs));
  }

  @Override
  public void onFailed() {
    end();
    respond(ResponseWriter.empty(HttpResponseStatus.BAD_GATEWAY));
  }
}
