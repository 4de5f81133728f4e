package quotagateway.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import quotagateway.policy.event.Status;
import quotagateway.transport.KernelSockets;
import quotagateway.transport.KernelSockets.UnreadInput;
import quotagateway.transport.MonotonicClock;

/**
 * One connection to a backend, with at most one attempt at a time: has its request written,
 * receives its response, and ends it with a status. On the event loop's thread; times are in
 * milliseconds on the gateway's clock.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject>
    implements ResponseReceiver.Listener {

  /** Who has the connection while no attempt is on it. */
  interface Owner {

    /** Its attempt has ended, and another one may follow on it. */
    void connectionReusable(BackendConnection connection);

    /** More has come on it than the responses that were asked for. */
    void excessReceived();

    /** It has been closed, by whichever side. */
    void connectionClosed(BackendConnection connection);
  }

  private final Owner owner;
  private final InetSocketAddress address;
  private final ResponseDecoder decoder;
  private final MonotonicClock clock;
  private final IdleConnectionReuse reuse;
  private Channel channel;
  private ResponseReceiver receiver;
  private double idleSinceMs;

  /** For how long it had been idle before it was used again. */
  private double idleBeforeUseMs;

  /** Whether a response was completed on it, unless this gateway has closed it since. */
  private boolean hasCarriedResponse;

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
    receiver = new ResponseReceiver(channel, clock, this);
  }

  // ---- Between attempts ----

  InetSocketAddress address() {
    return address;
  }

  /**
   * Whether it can carry a request now: it is open, and nothing has come on it since its last
   * response, even if that was not read yet. Prevents what has come from being taken for the
   * response to the next request, where the event loop is late in reading it. Where the answer is
   * no the connection has to be closed.
   */
  boolean isUsable() {
    if (!channel.isActive()) {
      return false;
    }
    UnreadInput unread = KernelSockets.unreadInput(channel);
    if (unread == UnreadInput.BYTES) {
      owner.excessReceived();
    }
    return unread == UnreadInput.NONE;
  }

  double idleSinceMs() {
    return idleSinceMs;
  }

  /**
   * No attempt is on it from now on. The response is acknowledged at once, so that the backend does
   * not hold back a second copy until the next request comes, for whose response it would be taken.
   */
  void markIdle() {
    idleSinceMs = clock.now();
    KernelSockets.acknowledgeNow(channel);
  }

  /** It is to carry an attempt again. */
  void markUsed(double nowMs) {
    idleBeforeUseMs = nowMs - idleSinceMs;
  }

  /** Closes it while no attempt is on it; its end then says nothing about idle connections. */
  void close() {
    hasCarriedResponse = false;
    channel.close();
  }

  /**
   * Closes it under its attempt, which its caller ends: nothing that still comes is for that one.
   */
  void closeUnderAttempt() {
    receiver.detachAttempt();
    close();
  }

  // ---- The request ----

  /** Takes an attempt, and writes its request. */
  void carry(Attempt attempt) {
    receiver.await(attempt);
    RequestWriter writer = new RequestWriter(channel, attempt);
    attempt.attachTo(this, writer);
    writer.write(clock);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    Attempt attempt = receiver.attempt();
    if (attempt != null && channel.isWritable()) {
      attempt.body().sinkWritable();
    }
  }

  // ---- The response ----

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (receiver.attempt() == null) {
      onExcess();
    } else {
      receiver.onPart(part);
    }
  }

  /** The client can take more of the response. */
  void resume() {
    receiver.resume();
  }

  /**
   * Hands the response on once the read is finished: only then it shows whether more than the
   * response has come. Prevents a second copy of a response, or noise, from being taken for the
   * next attempt's response.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (receiver.attempt() != null) {
      if (receiver.response().complete()) {
        finish();
      } else {
        receiver.watchProgress(decoder.hasMoreBytes());
      }
    } else if (decoder.hasMoreBytes()) {
      onExcess();
    }
  }

  /** Something has come that no request asked for. */
  private void onExcess() {
    owner.excessReceived();
    channel.close();
  }

  /** The response is complete: the attempt ends, and the connection may be used again. */
  private void finish() {
    Attempt attempt = receiver.attempt();
    ReceivedResponse response = receiver.response();
    FullHttpResponse kept = attempt.hasResponseStarted() ? null : response.toFullResponse();
    // A response ahead of the request's end is none to this request.
    boolean inOrder = attempt.isWritten();
    boolean reusable = inOrder && isReusableAfter(attempt);
    if (hasExcess()) {
      owner.excessReceived();
    }
    Status status =
        inOrder ? ResponseClassifier.classify(response.head()) : Status.WRITE_INCOMPLETE;
    receiver.detachAttempt();
    if (reusable) {
      owner.connectionReusable(this);
    } else {
      channel.close();
    }
    if (hasCarriedResponse) {
      reuse.recordAlive(idleBeforeUseMs);
    }
    hasCarriedResponse = true;
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
        && !hasExcess()
        && HttpUtil.isKeepAlive(receiver.response().head())
        && channel.isActive();
  }

  /** Whether more has come than the one response. */
  private boolean hasExcess() {
    return receiver.excessReceived() || decoder.hasMoreBytes();
  }

  /**
   * What came cannot be the response, or it stopped half way: the request may have been executed,
   * and the connection is of no more use.
   */
  @Override
  public void responseMalformed() {
    Attempt attempt = receiver.detachAttempt();
    channel.close();
    if (attempt != null) {
      attempt.end(attempt.statusIfMalformed(), null);
    }
  }

  // ---- The end of the connection ----

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    boolean deadWhenReused = hasCarriedResponse && !receiver.response().hasBegun();
    Attempt attempt = receiver.detachAttempt();
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
    receiver.markBroken();
    ctx.close();
  }
}
