package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import quotagateway.policy.event.Status;
import quotagateway.transport.ProtocolHeaders;

/** One connection to a backend: at most one attempt at a time, and what its answer means. */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject>
    implements RequestBody.Sink {

  /**
   * An answer within this is held whole, so that another can take its place; a larger one is passed
   * on.
   */
  private static final int MOST_HELD = 64 * 1024;

  /** Answers reach 32 MB; a length far beyond that is none. */
  private static final long MOST_PASSED = 64 << 20;

  /** Answers 1xx that may come ahead of the real one. */
  private static final int MOST_AHEAD = 16;

  /**
   * An answer that has begun and of which nothing came for so long is given up while it can be
   * replaced.
   */
  private static final long STOPPED_MS = 250;

  /**
   * One that the client has a part of cannot be: it is waited for as long as anything may still
   * come.
   */
  private static final double PASSED_STOPPED_MS = 10_000;

  private final BackendConnectionPool pool;
  private final ResponseDecoder decoder;
  final BackendConnectionPool.Backend backend;

  /** Where it leads; its backend may move. */
  final InetSocketAddress place;

  private Channel channel;
  private Attempt current;
  double idleSince;

  /** For how long it had been idle before it was used again. */
  double idleMs;

  /** It has carried an answer before. */
  private boolean kept;

  /** The answer being read, its body so far, and whether its end has come. */
  private HttpResponse head;

  private ByteBuf body;
  private boolean whole;
  private int ahead;

  /** The connection broke: its end is no answer's end. */
  private boolean reset;

  /** More has come than the one answer. */
  private boolean overfull;

  /** Ends an answer that stops half way; and when the last of it came. */
  private Future<?> stop;

  private double progressAt;

  /** The client takes no more for now. */
  private boolean paused;

  BackendConnection(
      BackendConnectionPool pool, BackendConnectionPool.Backend backend, ResponseDecoder decoder) {
    this.pool = pool;
    this.backend = backend;
    this.place = backend.place;
    this.decoder = decoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  boolean usable() {
    return channel.isActive();
  }

  void close() {
    kept = false;
    channel.close();
  }

  /**
   * Closes the connection under its attempt, which its caller ends: nothing that still comes is for
   * it.
   */
  void closeUnder() {
    current = null;
    forget();
    close();
  }

  /**
   * Writes the attempt's request; nothing below the module ever writes it again. It tells the time
   * that is left by now, as the connection may have been long in coming up.
   */
  void carry(Attempt attempt) {
    current = attempt;
    attempt.connection = this;
    HttpRequest head = attempt.head;
    if (attempt.dueAt < Double.POSITIVE_INFINITY) {
      double left = Math.max(1, attempt.dueAt - pool.now());
      head.headers().set(ProtocolHeaders.TIMEOUT_MS, Long.toString((long) Math.ceil(left)));
    }
    if (attempt.body.whole()) {
      lastWrite(
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              head.method(),
              head.uri(),
              attempt.body.buffered().retainedDuplicate(),
              head.headers(),
              EmptyHttpHeaders.INSTANCE));
    } else {
      channel.write(
          new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), head.headers()));
      attempt.body.passTo(this);
      channel.flush();
    }
  }

  private void lastWrite(HttpObject last) {
    Attempt attempt = current;
    channel
        .writeAndFlush(last)
        .addListener(
            (ChannelFuture f) -> {
              attempt.written = f.isSuccess();
              if (!f.isSuccess()) {
                attempt.end(Status.WRITE_INCOMPLETE, null);
                channel.close();
              }
            });
  }

  @Override
  public boolean piece(ByteBuf bytes) {
    channel
        .writeAndFlush(new DefaultHttpContent(bytes))
        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    return channel.isWritable();
  }

  @Override
  public void end() {
    lastWrite(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (current != null && channel.isWritable()) {
      current.body.wanted();
    }
  }

  /** The client can take more of the answer. */
  void resume() {
    if (paused) {
      paused = false;
      progressAt = pool.now();
      channel.config().setAutoRead(true);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (current == null) {
      // An answer that nobody asked for.
      ctx.close();
    } else if (whole) {
      overfull = true;
    } else if (part.decoderResult().isFailure() || part instanceof HttpResponse && head != null) {
      spoilt();
    } else {
      if (part instanceof HttpResponse r) {
        begin(r);
      }
      if (current != null && part instanceof HttpContent content) {
        add(content);
      }
    }
  }

  private void begin(HttpResponse answer) {
    boolean informational = answer.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    long length = HttpUtil.getContentLength(answer, 0L);
    // Where no length is told the end of the connection is the end of the body, if that is
    // announced.
    boolean ends = framed(answer) || !HttpUtil.isKeepAlive(answer);
    if (informational ? ++ahead > MOST_AHEAD : !ends || length > MOST_PASSED) {
      spoilt();
    } else {
      head = answer;
      if (length > MOST_HELD) {
        passOn();
      } else {
        body = channel.alloc().buffer((int) length);
      }
    }
  }

  private static boolean framed(HttpResponse answer) {
    return HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer);
  }

  private void add(HttpContent content) {
    if (reset && content instanceof LastHttpContent && !framed(head)) {
      // The decoder takes any end of the connection for the answer's.
      return;
    }
    if (!current.begun() && body.readableBytes() + content.content().readableBytes() > MOST_HELD) {
      passOn();
    }
    if (current != null && current.begun()) {
      pass(content);
    } else if (current != null) {
      body.writeBytes(content.content());
    }
    if (current != null && content instanceof LastHttpContent) {
      if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        forget();
      } else {
        whole = true;
      }
    }
  }

  /**
   * Begins to pass the answer on: it is too large to be held, or so slow that its client may wait
   * for it.
   */
  private void passOn() {
    if (!current.written || status(head) != Status.OK) {
      spoilt();
      return;
    }
    boolean wanted = current.begin(head);
    if (current == null) {
      return;
    }
    if (!wanted) {
      current.abandon(Status.CANCELLED);
    } else if (body != null && body.isReadable()) {
      pass(new DefaultHttpContent(body));
    }
  }

  private void pass(HttpContent content) {
    if (!current.onPiece(content) && current != null && !(content instanceof LastHttpContent)) {
      paused = true;
      channel.config().setAutoRead(false);
    }
  }

  /**
   * Hands the answer on once the read is finished: only then it shows whether more than the answer
   * has come. Guards against a second copy, or noise, that would be taken for the next attempt's
   * answer.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (current != null && whole) {
      answered();
    } else if (current != null && (head != null || decoder.holdsMore())) {
      progressAt = pool.now();
      if (stop == null) {
        stop = ctx.executor().schedule(this::check, STOPPED_MS, TimeUnit.MILLISECONDS);
      }
    } else if (current == null && decoder.holdsMore()) {
      ctx.close();
    }
  }

  private void check() {
    stop = null;
    double quiet = paused ? 0 : pool.now() - progressAt;
    if (quiet >= (current.begun() ? PASSED_STOPPED_MS : STOPPED_MS)) {
      spoilt();
      return;
    }
    // Where no length is told the answer may be one of those whose first bytes are waited for.
    if (!current.begun()
        && head != null
        && body != null
        && !HttpUtil.isContentLengthSet(head)
        && current.written
        && status(head) == Status.OK) {
      passOn();
    }
    if (current != null) {
      stop = channel.eventLoop().schedule(this::check, STOPPED_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void answered() {
    Attempt attempt = current;
    FullHttpResponse answer =
        attempt.begun()
            ? null
            : new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                head.status(),
                body.retain(),
                head.headers(),
                EmptyHttpHeaders.INSTANCE);
    boolean inStep = attempt.written;
    boolean reusable =
        inStep
            && !attempt.ended()
            && !overfull
            && !decoder.holdsMore()
            && HttpUtil.isKeepAlive(head)
            && channel.isActive();
    // An answer ahead of the request's end is none to this request.
    Status status = inStep ? status(head) : Status.WRITE_INCOMPLETE;
    current = null;
    forget();
    if (reusable) {
      pool.release(this);
    } else {
      channel.close();
    }
    if (kept) {
      pool.trust.lived(idleMs);
    }
    kept = true;
    attempt.end(status, status == Status.OK ? answer : null);
    if (answer != null) {
      answer.release();
    }
  }

  /**
   * What came cannot be the answer: the request may have run, and the connection is of no more use.
   */
  private void spoilt() {
    Attempt attempt = current;
    current = null;
    forget();
    channel.close();
    if (attempt != null) {
      attempt.end(
          !attempt.written
              ? Status.WRITE_INCOMPLETE
              : attempt.begun() ? Status.RESET : Status.MALFORMED_RESPONSE,
          null);
    }
  }

  private void forget() {
    head = null;
    whole = false;
    if (body != null) {
      body.release();
      body = null;
    }
    if (stop != null) {
      stop.cancel(false);
      stop = null;
    }
    if (current == null) {
      ahead = 0;
      resume();
    }
  }

  private static Status status(HttpResponse answer) {
    HttpResponseStatus code = answer.status();
    if (code.equals(HttpResponseStatus.OK)) {
      return Status.OK;
    }
    boolean turnedAway =
        (code.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || code.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
            && "1".equals(answer.headers().get(ProtocolHeaders.NOT_STARTED));
    return turnedAway ? Status.REJECTED : Status.ERROR;
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Attempt attempt = current;
    boolean stale = kept && head == null && ahead == 0;
    current = null;
    forget();
    pool.closed(this);
    if (attempt != null) {
      if (stale) {
        pool.trust.died(idleMs);
      }
      attempt.end(attempt.broken(stale), null);
    }
  }

  /** A reset or a fault of ours: this connection is of no more use. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reset = true;
    ctx.close();
  }
}
