package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import quotagateway.policy.event.Status;
import quotagateway.transport.MonotonicClock;

/**
 * One connection to a backend, with at most one attempt at a time: has its request written,
 * receives its response, and ends it with a status. On the event loop's thread; times are in
 * milliseconds on the gateway's clock.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {

  /** Who has the connection while no attempt is on it. */
  interface Owner {

    /** Its attempt has ended, and another one may follow on it. */
    void connectionReusable(BackendConnection connection);

    /** It has been closed, by whichever side. */
    void connectionClosed(BackendConnection connection);
  }

  private final Owner owner;
  private final InetSocketAddress address;
  private final ResponseDecoder decoder;
  private final MonotonicClock clock;
  private final IdleConnectionReuse reuse;
  private Channel channel;
  private ReceivedResponse response;
  private StalledResponseTimer stallTimer;

  /** The attempt that it carries, or null. */
  private Attempt current;

  private double idleSinceMs;

  /** For how long it had been idle before it was used again. */
  private double idleBeforeUseMs;

  /** Whether it has carried a response before, and is in use again. */
  private boolean reused;

  /** Whether the connection broke: its end is then no response's end. */
  private boolean broken;

  /** Whether more has come than the one response. */
  private boolean excessReceived;

  /** Whether reading is paused, as the client takes no more of the response for now. */
  private boolean paused;

  /**
   * @param address where it leads, for good, though its backend may move
   * @param decoder of the same channel
   * @param reuse learns how idle connections fared
   */
  BackendConnection(
      Owner owner,
      InetSocketAddress address,
      ResponseDecoder decoder,
      MonotonicClock clock,
      IdleConnectionReuse reuse) {
    this.owner = owner;
    this.address = address;
    this.decoder = decoder;
    this.clock = clock;
    this.reuse = reuse;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    response = new ReceivedResponse(channel.alloc());
    stallTimer = new StalledResponseTimer(channel.eventLoop(), clock, this::checkProgress);
  }

  // ---- Between attempts ----

  InetSocketAddress address() {
    return address;
  }

  boolean isActive() {
    return channel.isActive();
  }

  double idleSinceMs() {
    return idleSinceMs;
  }

  /** No attempt is on it from now on. */
  void markIdle() {
    idleSinceMs = clock.now();
  }

  /** It is to carry an attempt again. */
  void markUsed(double nowMs) {
    idleBeforeUseMs = nowMs - idleSinceMs;
  }

  /** Closes it while no attempt is on it; its end then tells nothing about idle connections. */
  void close() {
    reused = false;
    channel.close();
  }

  /**
   * Closes it under its attempt, which its caller ends: nothing that still comes is for that one.
   */
  void closeUnderAttempt() {
    current = null;
    clearResponse();
    close();
  }

  // ---- The request ----

  /** Takes an attempt, and writes its request. */
  void carry(Attempt attempt) {
    current = attempt;
    RequestWriter writer = new RequestWriter(channel, attempt);
    attempt.attachTo(this, writer);
    writer.write(clock);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (current != null && channel.isWritable()) {
      current.body().sinkWritable();
    }
  }

  // ---- The response ----

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (current == null) {
      // A response that no request asked for.
      ctx.close();
      return;
    }
    if (response.complete()) {
      excessReceived = true;
      return;
    }
    boolean secondHead = part instanceof HttpResponse && response.hasHead();
    if (part.decoderResult().isFailure() || secondHead) {
      failMalformed();
      return;
    }
    if (part instanceof HttpResponse head) {
      onHead(head);
    }
    if (current != null && part instanceof HttpContent content) {
      onContent(content);
    }
  }

  private void onHead(HttpResponse head) {
    if (!response.begin(head)) {
      failMalformed();
    } else if (response.announcedTooLarge()) {
      startStreaming();
    } else {
      response.allocateBody();
    }
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (broken && last && !ResponseClassifier.isFramed(response.head())) {
      // The decoder takes any end of the connection for the response's.
      return;
    }
    if (!current.hasResponseStarted() && !response.fits(content)) {
      startStreaming();
    }
    if (current != null && current.hasResponseStarted()) {
      stream(content);
    } else if (current != null) {
      response.append(content);
    }
    if (current != null && last) {
      if (ResponseClassifier.isInformational(response.head())) {
        clearResponse();
      } else {
        response.markComplete();
      }
    }
  }

  /**
   * Begins to stream the response to its client: it is too large to be kept, or so slow that its
   * client may wait for it. From then on no other attempt can replace it.
   */
  private void startStreaming() {
    if (!current.isWritten() || ResponseClassifier.classify(response.head()) != Status.OK) {
      failMalformed();
      return;
    }
    boolean wanted = current.startResponse(response.head());
    if (current == null) {
      return;
    }
    ByteBuf kept = response.body();
    if (!wanted) {
      current.abandon(Status.CANCELLED);
    } else if (kept != null && kept.isReadable()) {
      stream(new DefaultHttpContent(kept));
    }
  }

  private void stream(HttpContent content) {
    boolean moreWanted = current.onResponseContent(content);
    if (!moreWanted && current != null && !(content instanceof LastHttpContent)) {
      paused = true;
      channel.config().setAutoRead(false);
    }
  }

  /** The client can take more of the response. */
  void resume() {
    if (paused) {
      paused = false;
      stallTimer.recordProgress();
      channel.config().setAutoRead(true);
    }
  }

  /**
   * Hands the response on once the read is finished: only then it shows whether more than the
   * response has come. Prevents a second copy of a response, or noise, from being taken for the
   * next attempt's response.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (current == null) {
      if (decoder.hasMoreBytes()) {
        ctx.close();
      }
    } else if (response.complete()) {
      finish();
    } else if (response.hasHead() || decoder.hasMoreBytes()) {
      stallTimer.recordProgress();
      stallTimer.ensureScheduled();
    }
  }

  private void checkProgress() {
    if (!paused && stallTimer.isStalled(current.hasResponseStarted())) {
      failMalformed();
      return;
    }
    if (mayBeSlowByIntent()) {
      startStreaming();
    }
    if (current != null) {
      stallTimer.ensureScheduled();
    }
  }

  /** Where no length is announced the response may be one whose first bytes its client awaits. */
  private boolean mayBeSlowByIntent() {
    return !current.hasResponseStarted()
        && response.hasHead()
        && response.body() != null
        && !HttpUtil.isContentLengthSet(response.head())
        && current.isWritten()
        && ResponseClassifier.classify(response.head()) == Status.OK;
  }

  /** The response is complete: the attempt ends, and the connection may be used again. */
  private void finish() {
    Attempt attempt = current;
    FullHttpResponse kept = attempt.hasResponseStarted() ? null : response.toFullResponse();
    // A response ahead of the request's end is none to this request.
    boolean inOrder = attempt.isWritten();
    boolean reusable = inOrder && isReusableAfter(attempt);
    Status status =
        inOrder ? ResponseClassifier.classify(response.head()) : Status.WRITE_INCOMPLETE;
    current = null;
    clearResponse();
    if (reusable) {
      owner.connectionReusable(this);
    } else {
      channel.close();
    }
    if (reused) {
      reuse.recordAlive(idleBeforeUseMs);
    }
    reused = true;
    attempt.end(status, status == Status.OK ? kept : null);
    if (kept != null) {
      kept.release();
    }
  }

  /**
   * Whether another attempt may follow on it. Not where anything beyond the one response has come:
   * it would be taken for the next one.
   */
  private boolean isReusableAfter(Attempt attempt) {
    return !attempt.hasEnded()
        && !excessReceived
        && !decoder.hasMoreBytes()
        && HttpUtil.isKeepAlive(response.head())
        && channel.isActive();
  }

  /**
   * What came cannot be the response, or it stopped half way: the request may have been executed,
   * and the connection is of no more use.
   */
  private void failMalformed() {
    Attempt attempt = current;
    current = null;
    clearResponse();
    channel.close();
    if (attempt != null) {
      attempt.end(attempt.statusIfMalformed(), null);
    }
  }

  private void clearResponse() {
    response.clear();
    stallTimer.cancel();
    if (current == null) {
      response.clearInformational();
      resume();
    }
  }

  // ---- The end of the connection ----

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Attempt attempt = current;
    boolean deadWhenReused = reused && !response.hasBegun();
    current = null;
    clearResponse();
    owner.connectionClosed(this);
    if (attempt != null) {
      if (deadWhenReused) {
        reuse.recordDead(idleBeforeUseMs);
      }
      attempt.end(attempt.statusIfBroken(deadWhenReused), null);
    }
  }

  /** A reset, or a fault of this program: the connection is of no more use. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    broken = true;
    ctx.close();
  }
}
