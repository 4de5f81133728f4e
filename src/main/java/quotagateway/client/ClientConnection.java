package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import quotagateway.backend.Attempt;
import quotagateway.backend.RequestBody;
import quotagateway.driver.PolicyDriver;
import quotagateway.policy.event.RequestReceived;
import quotagateway.transport.ProtocolHeaders;
import quotagateway.transport.SocketTransport;

/** One client's connection: a request at a time, each with the one final answer. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

  /**
   * How long a connection that is ended over bad input stays half open, so that the answer is read.
   */
  private static final long LINGER_MS = 300;

  /** One over a larger request stays so for as long as more of that comes, within this. */
  private static final double MOST_LINGER_MS = 10_000;

  /**
   * From its connecting, or for a later request from its first byte, a client has so long for a
   * request's head. A trickle does not extend it: each held connection is one that another client
   * cannot have.
   */
  private static final double REQUEST_MS = 2_200;

  /** For the body it has this and the time that it takes at the least pace, 64 kB a second. */
  private static final double BODY_MS = 700;

  private static final double BODY_BYTES_PER_MS = 60;
  private static final long MOST_BODY = 32L << 20;

  /** Who has taken nothing of an answer, or of a body, for so long is not there any more. */
  private static final double STUCK_MS = 30_000;

  /** Between requests a connection may be ended after this, if another wants its place. */
  private static final double EVICT_MS = 2_050;

  /**
   * One with no whole request in so long goes sooner: clients connect in order to ask, and ask at
   * once.
   */
  private static final double EVICT_SILENT_MS = 300;

  /**
   * Between requests a connection is ended after this in any case: some clients never come back.
   */
  private static final double IDLE_MS = 10_000;

  /** Requests kept behind the one under way; a client with more gets no further answers. */
  private static final int MOST_BEHIND = 16;

  private final ClientServer server;
  private Channel channel;

  /** One connection too many: its first request is refused, and it ends. */
  private boolean over;

  /** The request that is being worked on, and whether its connection is kept after it. */
  private String current;

  private Incoming handled;
  private boolean keepAlive;

  /** Where the pieces of its answer come from, and since when the client takes none. */
  private Attempt passing;

  private double stuckSince = Double.NaN;
  private boolean ending;

  /** When it was opened or last answered. */
  private double quietSince;

  private boolean asked;

  /**
   * When the request that is being received began, or NaN; and how many bytes have come of its
   * head.
   */
  private double receivingSince = Double.NaN;

  private int headBytes;

  /** That request, once its head has come; and since when its body is not wanted for now. */
  private Incoming coming;

  private double pausedSince;
  private double heardAt;

  /** Too many requests came at once: those kept are answered, and then the connection ends. */
  private boolean overrun;

  /** Requests that wait their turn, and whether the first of them is about to have it. */
  private final ArrayDeque<Incoming> waiting = new ArrayDeque<>(1);

  private boolean proceeding;

  /** A request as it comes. */
  private final class Incoming {
    final HttpRequest head;
    final RequestBody body = new RequestBody(ClientConnection.this::read, server::hold);

    /** When its last byte came to this machine: from then on its time counts. */
    double arrivedAt;

    /**
     * When its body began, later by as long as that was not wanted; and how much has come of it.
     */
    double bodySince = server.now();

    long bodyBytes;
    boolean queued;

    /** Taken by the module, with so much time from its last byte on. */
    boolean taken;

    double timeoutMs;
    boolean malformed;
    boolean expects;

    Incoming(HttpRequest head) {
      this.head = head;
      malformed = head.decoderResult().isFailure();
      expects = !malformed && HttpUtil.is100ContinueExpected(head);
    }

    boolean tooLarge() {
      return Math.max(bodyBytes, HttpUtil.getContentLength(head, 0L)) > MOST_BODY;
    }
  }

  ClientConnection(ClientServer server) {
    this.server = server;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    quietSince = server.now();
    over = server.opened(this);
  }

  /**
   * Called with the size of what has come, before it is decoded; false when nothing more is wanted.
   */
  boolean receives(int bytes) {
    heardAt = server.now();
    if (ending || overrun) {
      return false;
    }
    if (Double.isNaN(receivingSince)) {
      receivingSince = heardAt;
    }
    if (coming == null) {
      headBytes += bytes;
      server.hold(bytes);
      if (server.full() && headBytes > bytes) {
        endWith(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much is being received");
        return false;
      }
    }
    return true;
  }

  /** Called after that has been decoded; begun: part of a further request is among it. */
  void received(boolean begun) {
    if (begun && Double.isNaN(receivingSince)) {
      receivingSince = server.now();
    }
  }

  private void receivedHead() {
    server.hold(-headBytes);
    headBytes = 0;
  }

  /** Reads on, or leaves what the client sends to the kernel. */
  private void read(boolean on) {
    if (on != channel.config().isAutoRead()) {
      if (!on) {
        pausedSince = server.now();
      } else if (coming != null) {
        coming.bodySince += server.now() - pausedSince;
      }
      channel.config().setAutoRead(on);
    }
  }

  double quietSince() {
    return quietSince;
  }

  /** Whether no request is on it, and has not been for long enough to end it for another's sake. */
  boolean evictable(double now) {
    if (current != null || ending) {
      return false;
    }
    if (asked && Double.isNaN(receivingSince)) {
      return now - quietSince > EVICT_MS;
    }
    return now - (asked ? receivingSince : quietSince) > EVICT_SILENT_MS;
  }

  /**
   * Guards against clients that never finish a request, say nothing, never come back, or read no
   * answer; and while draining ends what no request is on. One that has just connected may still
   * ask.
   */
  void endIfOverdue(double now) {
    if (ending) {
      return;
    }
    if (now - stuckSince > STUCK_MS) {
      channel.close();
    } else if (coming != null && (current == null || coming.taken)) {
      endIfSlow(now);
    } else if (current == null && !Double.isNaN(receivingSince)) {
      if (now - (asked ? receivingSince : quietSince) > REQUEST_MS) {
        endWith(HttpResponseStatus.REQUEST_TIMEOUT, "request is not whole in time");
      }
    } else if (asked && server.drained() || now - quietSince > (asked ? IDLE_MS : REQUEST_MS)) {
      closeIfIdle();
    }
  }

  private void endIfSlow(double now) {
    double allowed = BODY_MS + coming.bodyBytes / BODY_BYTES_PER_MS;
    if (!channel.config().isAutoRead()) {
      if (coming.taken && now - pausedSince > STUCK_MS) {
        giveUpBody(HttpResponseStatus.SERVICE_UNAVAILABLE, "body is not taken");
      }
    } else if (now - coming.bodySince > allowed
        && now - (asked ? receivingSince : quietSince) > REQUEST_MS) {
      giveUpBody(HttpResponseStatus.REQUEST_TIMEOUT, "body is not whole in time");
    }
  }

  /** What was taken of it reaches no backend whole. */
  private void giveUpBody(HttpResponseStatus status, String reason) {
    if (coming != null && coming.taken && current != null) {
      String id = current;
      current = null;
      server.driver().disconnectClient(id);
    }
    endWith(status, reason);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (ending || overrun) {
      return;
    }
    if (part instanceof HttpRequest head) {
      begin(head);
    }
    if (part instanceof HttpContent content && coming != null) {
      more(content);
    }
  }

  private void begin(HttpRequest head) {
    receivedHead();
    boolean first = current == null && waiting.isEmpty();
    Incoming next = new Incoming(head);
    if (!first && (waiting.size() >= MOST_BEHIND || next.malformed)) {
      // Reading goes on, so that a client that leaves is noticed; the bound is on what is kept.
      overrun = true;
      return;
    }
    if (next.malformed) {
      next.body.end();
      receivingSince = Double.NaN;
      queue(next);
      return;
    }
    coming = next;
    if (next.tooLarge() || HttpUtil.getContentLength(head, 0L) > RequestBody.MOST_HELD) {
      queue(next);
    }
    encourage();
  }

  /** Tells a client that waits for it to send its body, once no answer is owed before. */
  private void encourage() {
    if (coming != null
        && coming.expects
        && !ending
        && !coming.tooLarge()
        && current == null
        && (waiting.isEmpty() || waiting.peek() == coming)) {
      coming.expects = false;
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void more(HttpContent content) {
    Incoming in = coming;
    in.bodyBytes += content.content().readableBytes();
    if (content instanceof LastHttpContent && in.taken && left()) {
      // The client closed behind its body long ago, maybe: a backend that gets no last byte does
      // not begin.
      return;
    }
    if (content.decoderResult().isFailure() || in.tooLarge() && in.taken) {
      in.malformed = !in.tooLarge();
      if (in.taken) {
        giveUpBody(
            in.tooLarge()
                ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST,
            in.tooLarge() ? "body is too large" : "malformed body");
      } else {
        queue(in);
      }
      return;
    }
    if (!in.queued && in.bodyBytes > content.content().readableBytes() && server.full()) {
      endWith(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much is being received");
      return;
    }
    in.body.add(content.content());
    if (content instanceof LastHttpContent) {
      coming = null;
      receivingSince = Double.NaN;
      in.arrivedAt = server.now() - SocketTransport.msSinceLastReceive(channel);
      in.body.end();
      if (in.taken && handled == in && current != null) {
        server.driver().completeBody(current, in.arrivedAt + in.timeoutMs);
      }
      queue(in);
    } else if (in.body.large()) {
      queue(in);
    }
  }

  private void queue(Incoming in) {
    if (!in.queued) {
      in.queued = true;
      in.arrivedAt = in.body.whole() ? in.arrivedAt : server.now();
      waiting.add(in);
      proceed();
    }
  }

  /**
   * Has the next request handled behind all that the sockets have to tell by now. Guards against
   * work for clients that are gone: where CPU is short for any cause, connections wait long to be
   * accepted, and the hang-up is there with the request. Serving the dead first would leave no time
   * for the living. Harm: a client that ends its sending before it has its answer gets none, as
   * already when it does so later.
   */
  private void proceed() {
    if (!proceeding && current == null && !waiting.isEmpty()) {
      proceeding = true;
      channel
          .eventLoop()
          .execute(
              () -> {
                proceeding = false;
                Incoming next = waiting.poll();
                if (next != null) {
                  handle(next);
                }
              });
    }
    encourage();
  }

  private void handle(Incoming in) {
    asked = true;
    handled = in;
    try {
      keepAlive = HttpUtil.isKeepAlive(in.head);
      if (in.malformed) {
        endWith(HttpResponseStatus.BAD_REQUEST, "malformed request");
      } else if (in.tooLarge()) {
        endWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      } else if (in.head.uri().equals("/up")) {
        up(in.head);
      } else if (over || server.over() || server.full()) {
        keepAlive &= !over;
        refused(0);
      } else {
        take(in);
      }
    } catch (RuntimeException e) {
      faulty(e);
    } finally {
      if (!in.taken) {
        in.body.release();
      }
    }
  }

  /**
   * A fault of ours costs this request, not the connection or the process; its cause goes to the
   * log.
   */
  private void faulty(RuntimeException cause) {
    LOG.log(Level.SEVERE, "request failed", cause);
    if (current != null) {
      server.driver().disconnectClient(current);
      current = null;
      answer(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    } else {
      channel.close();
    }
  }

  private void up(HttpRequest message) {
    boolean get = message.method().equals(HttpMethod.GET);
    answer(
        !get
            ? HttpResponseStatus.METHOD_NOT_ALLOWED
            : server.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  private void take(Incoming in) {
    RequestReceived request;
    try {
      request = server.read(in.head, in.arrivedAt);
    } catch (RequestReader.BadRequest e) {
      keepAlive &= e.framed();
      answer(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    in.timeoutMs = request.deadlineAtMs() - in.arrivedAt;
    current = request.requestId();
    in.taken = true;
    server
        .driver()
        .accept(
            in.body.whole() ? request : request.withoutDeadline(),
            onward(in),
            in.body,
            new PolicyDriver.Client() {
              @Override
              public boolean isDisconnected() {
                boolean left = ClientConnection.this.left();
                current = left ? null : current;
                return left;
              }

              @Override
              public void onResponse(FullHttpResponse answer) {
                current = null;
                ClientConnection.this.served(answer);
              }

              @Override
              public void onResponseStart(HttpResponse head, Attempt from) {
                passing = from;
                pass(head, in.head);
              }

              @Override
              public boolean onResponseContent(HttpContent piece) {
                return ClientConnection.this.piece(piece);
              }

              @Override
              public void onResponseEnd(boolean whole) {
                if (passing != null) {
                  passed(whole);
                }
              }

              @Override
              public void onRejected(double holdOffMs) {
                current = null;
                ClientConnection.this.refused(holdOffMs);
              }

              @Override
              public void onFailed() {
                current = null;
                answer(HttpResponseStatus.BAD_GATEWAY);
              }
            });
  }

  /**
   * Whether the client has ended the connection, which is closed then, though its end was not read
   * yet.
   */
  private boolean left() {
    if (channel.isActive() && SocketTransport.isClosedByPeer(channel)) {
      channel.close();
    }
    return !channel.isActive();
  }

  /** What goes on to a backend: the request line and the headers that are passed on, unchanged. */
  private static HttpRequest onward(Incoming in) {
    HttpHeaders from = in.head.headers();
    DefaultHttpRequest onward =
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1, in.head.method(), RequestReader.path(in.head.uri()));
    for (CharSequence name :
        new CharSequence[] {
          HttpHeaderNames.HOST,
          ProtocolHeaders.REQUEST_ID,
          ProtocolHeaders.REQUEST_CLASS,
          ProtocolHeaders.IDEMPOTENCY_KEY,
          HttpHeaderNames.CONTENT_TYPE,
          ProtocolHeaders.TIMEOUT_MS
        }) {
      String value = from.get(name);
      if (value != null) {
        onward.headers().set(name, value);
      }
    }
    long length =
        in.body.whole() ? in.body.held().readableBytes() : HttpUtil.getContentLength(in.head, -1L);
    if (length < 0) {
      onward.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else if (length > 0 || in.head.method().equals(HttpMethod.POST)) {
      onward.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    return onward;
  }

  private void served(FullHttpResponse from) {
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, from.content().retain());
    copyType(from, answer);
    write(answer);
  }

  private static void copyType(HttpResponse from, HttpResponse to) {
    String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
    if (type != null) {
      to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    }
  }

  /** Begins an answer that follows in pieces. */
  private void pass(HttpResponse from, HttpRequest to) {
    DefaultHttpResponse answer =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    copyType(from, answer);
    if (HttpUtil.isContentLengthSet(from)) {
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, HttpUtil.getContentLength(from));
    } else if (to.protocolVersion().isKeepAliveDefault()) {
      answer.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      // Of HTTP/1.0: the end of the connection is the end of the answer.
      keepAlive = false;
    }
    keepAlive = keeps(answer);
    channel.writeAndFlush(answer);
  }

  private boolean piece(HttpContent piece) {
    if (passing == null) {
      return false;
    }
    channel.writeAndFlush(piece.retain());
    if (!channel.isWritable() && Double.isNaN(stuckSince)) {
      stuckSince = server.now();
    }
    return channel.isWritable();
  }

  /** The client takes more of its answer. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable()) {
      stuckSince = Double.NaN;
      if (passing != null) {
        passing.resume();
      }
    }
  }

  /**
   * Ends such an answer; one that is not whole ends with a reset, which no framing takes for its
   * end.
   */
  private void passed(boolean whole) {
    passing = null;
    current = null;
    stuckSince = Double.NaN;
    quietSince = server.now();
    if (!whole) {
      ending = true;
      dropWaiting();
      SocketTransport.reset(channel);
    } else if (keepAlive) {
      proceed();
    } else {
      end(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }
  }

  private void refused(double holdOffMs) {
    FullHttpResponse answer =
        empty(
            holdOffMs > 0
                ? HttpResponseStatus.TOO_MANY_REQUESTS
                : HttpResponseStatus.SERVICE_UNAVAILABLE);
    if (holdOffMs > 0) {
      answer
          .headers()
          .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", holdOffMs / 1000));
    }
    write(answer);
  }

  private void answer(HttpResponseStatus status) {
    write(empty(status));
  }

  private void answer(HttpResponseStatus status, String reason) {
    ByteBuf text = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.US_ASCII);
    write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text));
  }

  private static FullHttpResponse empty(HttpResponseStatus status) {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
  }

  private void write(FullHttpResponse answer) {
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
    quietSince = server.now();
    boolean keep = keeps(answer);
    ChannelFuture written = channel.writeAndFlush(answer);
    if (keep) {
      written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      proceed();
    } else {
      end(written);
    }
  }

  /** Whether the connection is kept after this answer, which tells the client. */
  private boolean keeps(HttpResponse answer) {
    // In a crowd a kept connection is a place that another client may not find. What has come whole
    // behind
    // this request has been taken, and is answered first.
    boolean last = (server.draining() || server.crowded() || overrun) && waiting.isEmpty();
    boolean keep = keepAlive && !last && handled.body.whole();
    if (!keep) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (!handled.head.protocolVersion().isKeepAliveDefault()) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
    return keep;
  }

  /**
   * Ends the connection with its last answer; a client that still sends a body gets to read that
   * first.
   */
  private void end(ChannelFuture answered) {
    ending = true;
    dropWaiting();
    if (coming != null && coming == handled) {
      linger(answered);
    } else {
      answered.addListener(ChannelFutureListener.CLOSE);
    }
  }

  /**
   * Answers what cannot be read any further, and lets the client read that before the connection
   * ends.
   */
  void endWith(HttpResponseStatus status, String reason) {
    if (ending) {
      return;
    }
    ending = true;
    dropWaiting();
    ByteBuf text = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.US_ASCII);
    FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    linger(channel.writeAndFlush(answer));
  }

  private void linger(ChannelFuture answered) {
    double until = server.now() + MOST_LINGER_MS;
    boolean body = coming != null && coming.queued;
    read(true);
    answered.addListener(f -> ((SocketChannel) channel).shutdownOutput());
    channel
        .eventLoop()
        .schedule(() -> lingered(body ? until : 0), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  private void lingered(double until) {
    double now = server.now();
    if (now - heardAt < LINGER_MS && now < until) {
      channel.eventLoop().schedule(() -> lingered(until), LINGER_MS, TimeUnit.MILLISECONDS);
    } else {
      channel.close();
    }
  }

  /**
   * Ends the connection if no request is on it; one that is answered while draining ends by itself.
   */
  void closeIfIdle() {
    if (current == null && waiting.isEmpty() && !ending) {
      ending = true;
      channel.close();
    }
  }

  /** The process ends: what is half here is refused, as nobody will take the rest of it. */
  void endUnasked() {
    if (current == null && waiting.isEmpty() && !Double.isNaN(receivingSince)) {
      endWith(HttpResponseStatus.SERVICE_UNAVAILABLE, "this front door ends");
    } else {
      closeIfIdle();
    }
  }

  private void dropWaiting() {
    waiting.forEach(w -> w.body.release());
    waiting.clear();
    if (coming != null && !coming.taken) {
      coming.body.release();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    ending = true;
    receivedHead();
    dropWaiting();
    server.closed(this);
    passing = null;
    if (current != null) {
      server.driver().disconnectClient(current);
      current = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof RuntimeException && !(cause instanceof CodecException)) {
      LOG.log(Level.SEVERE, "request failed", cause);
    }
    ctx.close();
  }
}
