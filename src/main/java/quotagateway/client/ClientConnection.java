package quotagateway.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import java.util.logging.Level;
import java.util.logging.Logger;
import quotagateway.transport.KernelSockets;

/**
 * One client connection. It handles requests one at a time in the order of their arrival, and each
 * gets one final response. {@link RequestAssembler} reads requests, {@link Exchange} handles one
 * request, {@link ResponseWriter} writes responses and {@link ConnectionCloser} closes the
 * connection. Confined to the event loop's thread; times are in milliseconds on the gateway's
 * clock.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
    implements RequestAssembler.Listener,
        ConnectionCloser.PendingRequests,
        ConnectionTimeouts.Activity {

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

  private final Channel channel;
  private final ClientContext context;
  private final ClientConnections connections;
  private final ConnectionMemory memory;
  private final RequestAssembler assembler;
  private final ResponseWriter writer;
  private final ConnectionCloser closer;
  private final ConnectionTimeouts timeouts;

  /** Requests that wait for their turn. */
  private final ArrayDeque<InboundRequest> queue = new ArrayDeque<>(1);

  /** Whether a task that starts the next queued request is scheduled. */
  private boolean nextRequestScheduled;

  /** The exchange that was started last, or null before the first. */
  private Exchange exchange;

  /**
   * Whether the connection exceeds the budget: its first request is rejected, and the connection is
   * closed.
   */
  private boolean overBudget;

  ClientConnection(Channel channel, ClientContext context, ClientConnections connections) {
    this.channel = channel;
    this.context = context;
    this.connections = connections;
    memory = new ConnectionMemory(context.memory());
    assembler = new RequestAssembler(channel, context, memory, this);
    writer = new ResponseWriter(channel, context, this::onClientReads);
    closer = new ConnectionCloser(channel, context, assembler, writer, this);
    timeouts = new ConnectionTimeouts(context, assembler, writer, closer, this);
  }

  ConnectionMemory memory() {
    return memory;
  }

  RequestAssembler assembler() {
    return assembler;
  }

  ConnectionCloser closer() {
    return closer;
  }

  ConnectionTimeouts timeouts() {
    return timeouts;
  }

  // Channel events

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    memory.onOpened();
    timeouts.restartIdleTime();
    overBudget = connections.onOpened(this);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (isClosing() || assembler.hasPipelineOverflowed()) {
      return;
    }
    if (part instanceof HttpRequest head) {
      assembler.onHead(head);
    }
    if (part instanceof HttpContent content) {
      assembler.onContent(content);
    }
  }

  /** Called when the client's socket has taken everything that was written. */
  private void onClientReads() {
    timeouts.restartIdleTime();
    if (exchange != null) {
      exchange.resume();
    }
    scheduleNextRequest();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    memory.onClosed();
    closer.onClosed();
    connections.onClosed(this);
    if (exchange != null) {
      exchange.onConnectionClosed();
    }
  }

  /**
   * Closes the connection after any exception, and logs the exception if it is a bug in the gateway
   * rather than a broken connection or malformed input.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof RuntimeException && !(cause instanceof CodecException)) {
      LOG.log(Level.SEVERE, "request failed", cause);
    }
    ctx.close();
  }

  // Request queue

  @Override
  public boolean hasOpenExchange() {
    return exchange != null && exchange.isOpen();
  }

  @Override
  public String latestRequestId() {
    return exchange == null ? "" : exchange.requestId();
  }

  @Override
  public boolean hasStartedExchange() {
    return exchange != null;
  }

  @Override
  public boolean isIdle() {
    return !hasOpenExchange() && queue.isEmpty();
  }

  @Override
  public boolean hasPendingResponse() {
    return !isIdle() || writer.isBlocked();
  }

  /**
   * {@inheritDoc}
   *
   * <p>Without a bound, memory use would grow with pipelined requests. A client that sends more
   * gets the responses to the queued requests, and then its connection is closed.
   */
  @Override
  public boolean isQueueFull() {
    return queue.size() >= RequestLimits.MAX_PIPELINED_REQUESTS;
  }

  @Override
  public void onHeadReceived() {
    sendContinueIfExpected();
  }

  @Override
  public void onRequestReady(InboundRequest request) {
    queue.add(request);
    scheduleNextRequest();
  }

  @Override
  public void onRequestComplete(InboundRequest request) {
    if (request.isAccepted() && exchange.request() == request) {
      exchange.onRequestComplete();
    }
  }

  @Override
  public void onBodyFailed(HttpResponseStatus status, String reason) {
    InboundRequest incompleteRequest = assembler.incompleteRequest();
    if (incompleteRequest != null && incompleteRequest.isAccepted() && hasOpenExchange()) {
      exchange.abandonRequest();
    }
    closer.closeWithError(status, reason);
  }

  @Override
  public void onBodyStalled(double stalledMs) {
    exchange.onBodyStalled(stalledMs);
  }

  @Override
  public void onBodyTooLate() {
    exchange.onBodyTooLate();
  }

  @Override
  public void onInputRejected(HttpResponseStatus status, String reason) {
    closer.closeWithError(status, reason);
  }

  /**
   * Schedules the next request to start after the event loop has delivered the socket events that
   * are already pending.
   *
   * <p>When CPU is short, connections wait long to be accepted, and a client's close may be
   * readable together with its request. Deferring the start lets the gateway notice the close
   * first; otherwise the requests of disconnected clients would leave no time for those of others.
   * The drawback is that a client that ends its sending before it has received its response gets
   * none, as is already the case when it does so later.
   *
   * <p>The next request waits until the client's socket has taken the response before it. Otherwise
   * a client that sends many requests at once and reads slowly would have a response to each of
   * them held in memory.
   */
  private void scheduleNextRequest() {
    if (!nextRequestScheduled && !hasOpenExchange() && !writer.isBlocked() && !queue.isEmpty()) {
      nextRequestScheduled = true;
      channel.eventLoop().execute(this::startNextRequest);
    }
    sendContinueIfExpected();
  }

  private void startNextRequest() {
    nextRequestScheduled = false;
    InboundRequest next = queue.poll();
    if (next != null) {
      exchange = new Exchange(next, this, context, writer);
      exchange.start(overBudget);
    }
  }

  /**
   * Sends 100 Continue to a client that waits for it before sending the body, once no earlier
   * response is pending.
   */
  private void sendContinueIfExpected() {
    InboundRequest incompleteRequest = assembler.incompleteRequest();
    if (incompleteRequest == null
        || !incompleteRequest.awaitsContinue()
        || incompleteRequest.isTooLarge()) {
      return;
    }
    boolean isNext = queue.isEmpty() || queue.peek() == incompleteRequest;
    if (isNext && !hasOpenExchange() && !isClosing()) {
      incompleteRequest.markContinueSent();
      writer.writeContinue();
    }
  }

  @Override
  public void discardRequests() {
    queue.forEach(request -> request.body().release());
    queue.clear();
    assembler.discardIncompleteRequest();
  }

  /**
   * Drops what no attempt has been started for, to free its memory: requests that wait for their
   * turn or are being received. If no request is open, the client gets a rejection.
   */
  void dropUnstartedRequests() {
    InboundRequest incompleteRequest = assembler.incompleteRequest();
    boolean bodyIsStreamed = incompleteRequest != null && incompleteRequest.isAccepted();
    if (isClosing() || bodyIsStreamed) {
      return;
    }
    if (hasOpenExchange()) {
      discardRequests();
      assembler.dropInput();
    } else {
      closer.rejectAndClose("out of memory");
    }
  }

  /**
   * Ends the open request to free its memory: its client gets an error, or a reset if the response
   * has begun.
   */
  void endOpenRequest() {
    if (isClosing() || exchange == null || !exchange.failForOverload()) {
      closer.reset(CloseReason.OUT_OF_MEMORY);
    }
  }

  // Responses

  /** Writes an exchange's response, then starts the next request or closes the connection. */
  void respond(Exchange answeredExchange, FullHttpResponse response) {
    timeouts.restartIdleTime();
    boolean keepAlive = isKeptAliveAfter(answeredExchange);
    ChannelFuture writeFuture =
        writer.write(response, keepAlive, answeredExchange.request().head().protocolVersion());
    if (keepAlive) {
      writeFuture.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      scheduleNextRequest();
    } else {
      closeAfter(writeFuture);
    }
  }

  /**
   * Called when an exchange's streamed response has ended; starts the next request or closes the
   * connection.
   */
  void onStreamEnded(boolean complete, boolean keepAlive) {
    timeouts.restartIdleTime();
    if (!complete) {
      closer.reset(CloseReason.STREAM_INCOMPLETE);
    } else if (keepAlive && !(assembler.hasPipelineOverflowed() && queue.isEmpty())) {
      scheduleNextRequest();
    } else {
      closeAfter(writer.lastWrite());
    }
  }

  /**
   * Returns whether the connection is kept alive after the response to an exchange. A connection is
   * closed while the gateway drains, after too many pipelined requests, and near the connection
   * limit, where a kept connection may keep another client out. Pipelined requests that are already
   * queued are answered first, because closing earlier would lose them; the response to the last of
   * them closes the connection.
   */
  boolean isKeptAliveAfter(Exchange answeredExchange) {
    boolean closeRequested =
        context.isDraining() || connections.isCrowded() || assembler.hasPipelineOverflowed();
    boolean lastResponse = closeRequested && queue.isEmpty();
    return !lastResponse && answeredExchange.allowsKeepAlive();
  }

  private void closeAfter(ChannelFuture writeFuture) {
    InboundRequest incompleteRequest = assembler.incompleteRequest();
    boolean bodyStillArriving =
        incompleteRequest != null && incompleteRequest == exchange.request();
    closer.closeAfter(writeFuture, bodyStillArriving || assembler.isReceivingRequest());
  }

  // Closing

  @Override
  public boolean isClosing() {
    return closer.isClosing();
  }

  /**
   * {@inheritDoc}
   *
   * <p>Without this check, attempts would be started for disconnected clients: an event loop that
   * was stalled, or that has paused reading, may not have read the close yet.
   */
  @Override
  public boolean closeIfClientDisconnected() {
    if (channel.isActive() && KernelSockets.isClosedByPeer(channel)) {
      channel.close();
    }
    return !channel.isActive();
  }
}
