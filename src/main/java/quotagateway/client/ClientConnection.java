package quotagateway.client;

import io.netty.buffer.Unpooled;
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
 * One client's connection: requests one at a time in the order of their coming, each with its one
 * final response. Reading requests, one exchange, writing responses and closing are {@link
 * RequestAssembler}'s, {@link Exchange}'s, {@link ResponseWriter}'s and {@link ConnectionCloser}'s.
 * On the event loop's thread; times are in milliseconds on the gateway's clock.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
    implements RequestAssembler.Listener, ConnectionCloser.Requests, ConnectionTimeouts.Activity {

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

  private final Channel channel;
  private final ClientContext context;
  private final ClientConnections connections;
  private final RequestAssembler assembler;
  private final ResponseWriter writer;
  private final ConnectionCloser closer;
  private final ConnectionTimeouts timeouts;

  /** Requests that wait for their turn. */
  private final ArrayDeque<InboundRequest> queue = new ArrayDeque<>(1);

  /** Whether the first of them is about to have it. */
  private boolean nextScheduled;

  /** The exchange that was started last, or null before the first. */
  private Exchange exchange;

  /** The connection exceeds the budget: its first request is rejected, and it ends. */
  private boolean overBudget;

  ClientConnection(Channel channel, ClientContext context, ClientConnections connections) {
    this.channel = channel;
    this.context = context;
    this.connections = connections;
    assembler = new RequestAssembler(channel, context, this);
    writer = new ResponseWriter(channel, context);
    closer = new ConnectionCloser(channel, context, assembler, writer, this);
    timeouts = new ConnectionTimeouts(context, assembler, writer, closer, this);
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

  // ---- Events of the channel ----

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    timeouts.restartIdleTime();
    overBudget = connections.opened(this);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (closing() || assembler.overrun()) {
      return;
    }
    if (part instanceof HttpRequest head) {
      assembler.onHead(head);
    }
    if (part instanceof HttpContent content) {
      assembler.onContent(content);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable()) {
      writer.clearStall();
      if (exchange != null) {
        exchange.resume();
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    assembler.releaseHead();
    closer.closed();
    connections.closed(this);
    if (exchange != null) {
      exchange.connectionClosed();
    }
  }

  /** A broken or malformed connection is closed; a fault of this program is logged as well. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof RuntimeException && !(cause instanceof CodecException)) {
      LOG.log(Level.SEVERE, "request failed", cause);
    }
    ctx.close();
  }

  // ---- Requests in their order ----

  @Override
  public boolean exchangeOpen() {
    return exchange != null && exchange.open();
  }

  @Override
  public boolean exchangeStarted() {
    return exchange != null;
  }

  @Override
  public boolean idle() {
    return !exchangeOpen() && queue.isEmpty();
  }

  /**
   * Bounds what a client can have kept here. Prevents memory that grows with pipelined requests; a
   * client that sends more gets the responses to those kept, and then a close.
   */
  @Override
  public boolean queueFull() {
    return queue.size() >= RequestLimits.MAX_PIPELINED_REQUESTS;
  }

  @Override
  public void headReceived() {
    sendContinueIfExpected();
  }

  @Override
  public void requestReady(InboundRequest request) {
    queue.add(request);
    startNext();
  }

  @Override
  public void requestComplete(InboundRequest request) {
    if (request.accepted() && exchange.request() == request) {
      exchange.requestComplete();
    }
  }

  @Override
  public void bodyFailed(HttpResponseStatus status, String reason) {
    InboundRequest receiving = assembler.receiving();
    if (receiving != null && receiving.accepted() && exchangeOpen()) {
      exchange.abandonRequest();
    }
    closer.closeWithError(status, reason);
  }

  @Override
  public void unreadable(HttpResponseStatus status, String reason) {
    closer.closeWithError(status, reason);
  }

  /**
   * Has the next request handled behind all that the sockets have to report by now. Prevents work
   * for clients that are gone: where CPU is short for any cause, connections wait long to be
   * accepted, and the close is there with the request; requests of such clients, served first,
   * would leave no time for those of others. Cost: a client that ends its sending before it has its
   * response gets none, as already when it does so later.
   */
  private void startNext() {
    if (!nextScheduled && !exchangeOpen() && !queue.isEmpty()) {
      nextScheduled = true;
      channel.eventLoop().execute(this::startScheduled);
    }
    sendContinueIfExpected();
  }

  private void startScheduled() {
    nextScheduled = false;
    InboundRequest next = queue.poll();
    if (next != null) {
      exchange = new Exchange(next, this, context, writer);
      exchange.start(overBudget);
    }
  }

  /** Has a client send the body that it keeps back, once no response is owed before. */
  private void sendContinueIfExpected() {
    InboundRequest receiving = assembler.receiving();
    if (receiving == null || !receiving.awaitsContinue() || receiving.tooLarge()) {
      return;
    }
    boolean isNext = queue.isEmpty() || queue.peek() == receiving;
    if (isNext && !exchangeOpen() && !closing()) {
      receiving.continueSent();
      writer.writeContinue();
    }
  }

  @Override
  public void discardRequests() {
    queue.forEach(request -> request.body().release());
    queue.clear();
    assembler.discard();
  }

  // ---- Responses ----

  /** Writes an exchange's response; the next request follows, or the connection ends. */
  void respond(Exchange answered, FullHttpResponse response) {
    timeouts.restartIdleTime();
    boolean kept = keptAfter(answered);
    ChannelFuture written =
        writer.write(response, kept, answered.request().head().protocolVersion());
    if (kept) {
      written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      startNext();
    } else {
      closeAfter(written);
    }
  }

  /**
   * An exchange's streamed response has ended; the next request follows, or the connection ends.
   */
  void streamEnded(boolean complete, boolean kept) {
    writer.clearStall();
    timeouts.restartIdleTime();
    if (!complete) {
      closer.reset();
    } else if (kept) {
      startNext();
    } else {
      closeAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }
  }

  /**
   * Whether the connection is kept after the response to an exchange. Near the connection limit a
   * kept connection is one that another client may not get. Prevents the loss of pipelined requests
   * behind an end: those that have come already are answered first, and the last of them ends the
   * connection.
   */
  boolean keptAfter(Exchange answered) {
    boolean endWanted = context.draining() || connections.crowded() || assembler.overrun();
    boolean last = endWanted && queue.isEmpty();
    return !last && answered.allowsKeepAlive();
  }

  private void closeAfter(ChannelFuture written) {
    InboundRequest receiving = assembler.receiving();
    boolean bodyStillComes = receiving != null && receiving == exchange.request();
    closer.closeAfter(written, bodyStillComes || assembler.receivesRequest());
  }

  // ---- Closing ----

  @Override
  public boolean closing() {
    return closer.closing();
  }

  /**
   * Closes the connection if the client has closed it, though that was not read yet, and tells
   * whether it is closed. Prevents attempts for clients that are gone: a loop that was held up, or
   * that has paused reading, has not heard of it.
   */
  @Override
  public boolean closeIfClientLeft() {
    if (channel.isActive() && KernelSockets.isClosedByPeer(channel)) {
      channel.close();
    }
    return !channel.isActive();
  }
}
