package quotagateway.client;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
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
import quotagateway.transport.ProtocolHeaders;

/**
 * One request with its one final response. It is answered here, or given to the driver, which then
 * owns the request's body and calls back with the response. On the event loop's thread.
 *
 * <p>States: {@code LOCAL} leads to {@code FORWARDED} where the driver accepts the request; that
 * one to {@code STREAMING} where the response comes in pieces; and either to {@code ENDED}, by
 * {@link #end} alone. A request that is answered here stays {@code LOCAL}.
 */
final class Exchange implements ResponseListener {

  private static final Logger LOG = Logger.getLogger(Exchange.class.getName());

  /** Served by this gateway itself: whether it may get requests. */
  private static final String READINESS_PATH = "/up";

  /**
   * Headers that go on to a backend; the time-out is updated when they are written. All others
   * concern the client's connection.
   */
  private static final CharSequence[] FORWARDED_HEADERS = {
    HttpHeaderNames.HOST,
    ProtocolHeaders.REQUEST_ID,
    ProtocolHeaders.REQUEST_CLASS,
    ProtocolHeaders.IDEMPOTENCY_KEY,
    HttpHeaderNames.CONTENT_TYPE,
    ProtocolHeaders.TIMEOUT_MS
  };

  /** Where an exchange is between its request and its final response. */
  private enum State {
    /** The driver does not have the request; it is answered here, or not yet looked at. */
    LOCAL,
    /** The driver has it, and its final response is awaited. */
    FORWARDED,
    /** The head of its response is written; pieces of the body follow. */
    STREAMING,
    /** It has its final response, or its client gets none any more. */
    ENDED
  }

  private final InboundRequest request;
  private final ClientConnection connection;
  private final ClientContext context;
  private final ResponseWriter writer;
  private State state = State.LOCAL;

  /** Null until the request has been read. */
  private String requestId;

  /** Where the pieces of a streamed response come from; null unless it is streamed. */
  private Attempt source;

  /** Whether the client, and what has been found since, allow to keep the connection. */
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

  /** Whether the driver has the request and its client still waits for the response, or its end. */
  boolean open() {
    return state == State.FORWARDED || state == State.STREAMING;
  }

  /** Whether the client, and the request's framing, allow to keep the connection. */
  boolean allowsKeepAlive() {
    return keepAlive && request.body().isComplete();
  }

  /**
   * Answers the request or gives it to the driver.
   *
   * @param overBudget whether the connection is one too many
   */
  void start(boolean overBudget) {
    try {
      if (request.malformed()) {
        connection.closer().closeWithError(HttpResponseStatus.BAD_REQUEST, "malformed request");
      } else if (request.tooLarge()) {
        connection
            .closer()
            .closeWithError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      } else if (request.head().uri().equals(READINESS_PATH)) {
        respond(ResponseWriter.empty(readiness()));
      } else if (overBudget || context.isShutDown() || context.memoryExhausted()) {
        keepAlive &= !overBudget;
        respond(ResponseWriter.rejection(0));
      } else {
        forward();
      }
    } catch (RuntimeException e) {
      // A fault of this program, of whatever kind, costs this request and nothing beside it.
      failInternally(e);
    } finally {
      if (!request.accepted()) {
        request.body().release();
      }
    }
  }

  private HttpResponseStatus readiness() {
    if (!request.head().method().equals(HttpMethod.GET)) {
      return HttpResponseStatus.METHOD_NOT_ALLOWED;
    }
    return context.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  private void forward() {
    RequestReceived received;
    try {
      received = context.read(request.head(), request.lastByteAtMs());
    } catch (InvalidRequestException e) {
      keepAlive &= e.connectionReusable();
      respond(ResponseWriter.text(e.status(), e.getMessage()));
      return;
    }
    request.accept(received.deadlineAtMs() - request.lastByteAtMs());
    requestId = received.requestId();
    state = State.FORWARDED;
    boolean complete = request.body().isComplete();
    context
        .driver()
        .accept(
            complete ? received : received.withoutDeadline(),
            headForBackend(),
            request.body(),
            this);
  }

  /** What goes on to a backend: the request line, the headers that are forwarded, the framing. */
  private HttpRequest headForBackend() {
    HttpRequest head = request.head();
    HttpRequest forwarded =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), RequestReader.path(head.uri()));
    HttpHeaders headers = forwarded.headers();
    for (CharSequence name : FORWARDED_HEADERS) {
      String value = head.headers().get(name);
      if (value != null) {
        headers.set(name, value);
      }
    }
    long length =
        request.body().isComplete()
            ? request.body().buffered().readableBytes()
            : HttpUtil.getContentLength(head, -1L);
    if (length < 0) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (length > 0 || head.method().equals(HttpMethod.POST)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    return forwarded;
  }

  /** The last byte of the request has come; the driver learns the deadline if it waits for it. */
  void requestComplete() {
    if (open()) {
      context.driver().onBodyComplete(requestId, request.deadlineAtMs());
    }
  }

  private void failInternally(RuntimeException cause) {
    LOG.log(Level.SEVERE, "request failed", cause);
    if (open()) {
      context.driver().onClientDisconnected(requestId);
      end();
      respond(ResponseWriter.empty(HttpResponseStatus.INTERNAL_SERVER_ERROR));
    } else {
      connection.closer().closeAtOnce();
    }
  }

  private void respond(FullHttpResponse response) {
    connection.respond(this, response);
  }

  /** The one way to the final state; nothing leads back. */
  private void end() {
    state = State.ENDED;
    source = null;
  }

  /**
   * Nobody waits for the response any more: the connection has ended, so that none can be written.
   */
  void connectionClosed() {
    if (open()) {
      end();
      context.driver().onClientDisconnected(requestId);
    }
  }

  /**
   * The request cannot be received to its end. What was forwarded of it reaches no backend
   * complete, and a response that is being streamed breaks off.
   */
  void abandonRequest() {
    if (state == State.FORWARDED) {
      end();
      context.driver().onClientDisconnected(requestId);
    } else if (state == State.STREAMING) {
      // Ends by the driver's call of onResponseEnd.
      context.driver().onClientDisconnected(requestId);
    }
  }

  /** The client takes more of a streamed response. */
  void resume() {
    if (state == State.STREAMING) {
      source.resume();
    }
  }

  @Override
  public boolean endIfDisconnected() {
    boolean left = connection.closeIfClientLeft();
    if (left) {
      end();
    }
    return left;
  }

  @Override
  public void onResponse(FullHttpResponse fromBackend) {
    end();
    respond(ResponseWriter.forwarded(fromBackend));
  }

  @Override
  public void onResponseStart(HttpResponse fromBackend, Attempt from) {
    state = State.STREAMING;
    source = from;
    HttpVersion clientVersion = request.head().protocolVersion();
    boolean chunks = clientVersion.isKeepAliveDefault();
    if (!chunks && !HttpUtil.isContentLengthSet(fromBackend)) {
      // The end of the connection is the end of the response.
      keepAlive = false;
    }
    HttpResponse head = ResponseWriter.streamHead(fromBackend, chunks);
    keepAlive = connection.keptAfter(this);
    writer.writeStreamHead(head, keepAlive, clientVersion);
  }

  @Override
  public boolean onResponseContent(HttpContent piece) {
    return state == State.STREAMING && writer.writePiece(piece);
  }

  @Override
  public void onResponseEnd(boolean whole) {
    if (state == State.STREAMING) {
      end();
      connection.streamEnded(whole, keepAlive);
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
