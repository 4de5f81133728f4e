package quotagateway.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import quotagateway.policy.event.Status;
import quotagateway.transport.EventLog;
import quotagateway.transport.KernelSockets;
import quotagateway.transport.KernelSockets.UnreadInput;
import quotagateway.transport.LogEvent;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;

/**
 * A connection to a backend, which carries at most one attempt at a time: it sends the request,
 * receives the response, and ends the attempt with a status. Confined to the event loop's thread.
 * Times are in milliseconds on the gateway's clock.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject>
    implements ResponseReceiver.Listener {

  /** Manages the connection between attempts. */
  interface Owner {

    /** Called when a response is complete and the connection may carry another attempt. */
    void connectionReusable(BackendConnection connection);

    /** Called when the backend has sent data that no request asked for. */
    void unsolicitedDataReceived();

    /** Called when either side has closed the connection. */
    void connectionClosed(BackendConnection connection);
  }

  private final Owner owner;
  private final InetSocketAddress address;
  private final ResponseDecoder decoder;
  private final MonotonicClock clock;
  private final PeerMemory memory;
  private final IdleConnectionReuse reuse;
  private Channel channel;
  private ResponseReceiver receiver;

  /** Heap of what the decoder holds, as counted. */
  private int decodingBytes;

  private double idleSinceMs;

  /** Idle time before the current attempt, if the connection was reused. */
  private double idleTimeBeforeReuseMs;

  /**
   * Whether a response has been completed on this connection; reset when this gateway closes the
   * connection by {@link #close}.
   */
  private boolean hasCompletedResponse;

  /**
   * Creates a connection that becomes active when it is added to a channel's pipeline.
   *
   * @param address the remote address, which stays the same even if the backend moves
   * @param decoder the decoder in the same pipeline
   * @param memory bounds what responses hold
   * @param reuse records whether reused connections were still alive
   */
  BackendConnection(
      Owner owner,
      InetSocketAddress address,
      ResponseDecoder decoder,
      MonotonicClock clock,
      PeerMemory memory,
      IdleConnectionReuse reuse) {
    this.owner = owner;
    this.address = address;
    this.decoder = decoder;
    this.clock = clock;
    this.memory = memory;
    this.reuse = reuse;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    receiver = new ResponseReceiver(channel, clock, memory, this);
  }

  // Idle connections

  InetSocketAddress address() {
    return address;
  }

  /**
   * Returns whether the connection can carry a request now: it is open, and neither data nor the
   * backend's close has arrived since its last response, including input that is still in the
   * kernel's buffer. Without this check, a late event loop would treat such data as the response to
   * the next request. The caller has to close the connection if the result is false.
   */
  boolean isUsable() {
    if (!channel.isActive()) {
      return false;
    }
    UnreadInput unread = KernelSockets.unreadInput(channel);
    if (unread == UnreadInput.BYTES) {
      owner.unsolicitedDataReceived();
    }
    return unread == UnreadInput.NONE;
  }

  double idleSinceMs() {
    return idleSinceMs;
  }

  /**
   * Marks the connection as idle. The response is acknowledged at once: otherwise Nagle's algorithm
   * may make the backend's kernel hold back a second copy of the response until the next request
   * arrives, and the copy would be treated as the response to that request.
   */
  void markIdle() {
    idleSinceMs = clock.now();
    KernelSockets.acknowledgeNow(channel);
  }

  /** Records the idle time when the connection is taken for another attempt. */
  void markReused(double nowMs) {
    idleTimeBeforeReuseMs = nowMs - idleSinceMs;
  }

  /**
   * Closes the connection on this gateway's initiative, so that the close is not recorded as a dead
   * idle connection.
   */
  void close() {
    hasCompletedResponse = false;
    channel.close();
  }

  /**
   * Detaches the current attempt, which the caller ends, and closes the connection. Data that
   * arrives later does not reach the attempt.
   */
  void closeAndDetachAttempt() {
    receiver.detachAttempt();
    close();
  }

  // Sending the request

  /** Starts an attempt on this connection by writing its request. */
  void send(Attempt attempt) {
    receiver.expectResponse(attempt);
    RequestWriter writer = new RequestWriter(channel, attempt);
    attempt.attachTo(this, writer);
    writer.write(clock);
  }

  // Receiving the response

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (receiver.attempt() == null) {
      handleUnsolicitedData();
    } else {
      receiver.onPart(part);
    }
  }

  /** Streams the response if it is arriving and can be streamed; returns whether it is streamed. */
  boolean streamArrivingResponse() {
    return receiver.streamIfArriving();
  }

  /** Resumes reading the response after a pause for back pressure from the client. */
  void resume() {
    receiver.resume();
  }

  /**
   * Completes the attempt at the end of a read rather than at the last byte of the response,
   * because only then is it known whether more data than the response has arrived. Otherwise a
   * second copy of the response, or other unsolicited data, would be treated as the next attempt's
   * response.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    countDecodingBytes(decoder.heldBytes());
    if (receiver.attempt() != null) {
      if (receiver.response().isComplete()) {
        completeAttempt();
      } else {
        receiver.watchProgress(decoder.hasUndecodedBytes());
      }
    } else if (decoder.hasUndecodedBytes()) {
      handleUnsolicitedData();
    }
  }

  private void countDecodingBytes(int bytes) {
    int change = bytes - decodingBytes;
    decodingBytes = bytes;
    memory.heap().adjust(change);
  }

  private void handleUnsolicitedData() {
    EventLog.current()
        .line(LogEvent.CONNECTION_CLOSED, "UNSOLICITED_DATA")
        .with("peer", address)
        .withMs("idle_ms", clock.now() - idleSinceMs)
        .write();
    owner.unsolicitedDataReceived();
    channel.close();
  }

  /** Ends the attempt after a complete response. Closes the connection unless it is reusable. */
  private void completeAttempt() {
    Attempt attempt = receiver.attempt();
    ReceivedResponse response = receiver.response();
    FullHttpResponse bufferedResponse =
        attempt.hasResponseStarted() ? null : response.toFullResponse();
    // A response that arrives before the end of the request is not a response to this request.
    boolean requestWritten = attempt.isWritten();
    boolean reusable = requestWritten && isReusableAfter(attempt);
    if (hasUnsolicitedData()) {
      owner.unsolicitedDataReceived();
    }
    Status status =
        requestWritten ? ResponseClassifier.classify(response.head()) : Status.WRITE_INCOMPLETE;
    receiver.detachCompletedAttempt();
    if (reusable) {
      owner.connectionReusable(this);
    } else {
      channel.close();
    }
    if (hasCompletedResponse) {
      reuse.recordAlive(idleTimeBeforeReuseMs);
    }
    hasCompletedResponse = true;
    attempt.end(status, status == Status.OK ? bufferedResponse : null);
    if (bufferedResponse != null) {
      bufferedResponse.release();
    }
    response.releaseMemory();
  }

  /**
   * Returns whether the connection may carry another attempt. Not after unsolicited data, which
   * would be treated as the next response.
   */
  private boolean isReusableAfter(Attempt attempt) {
    return !attempt.hasEnded()
        && !hasUnsolicitedData()
        && HttpUtil.isKeepAlive(receiver.response().head())
        && channel.isActive();
  }

  /** Returns whether data beyond the current response has arrived. */
  private boolean hasUnsolicitedData() {
    return receiver.unsolicitedDataReceived() || decoder.hasUndecodedBytes();
  }

  /** Closes the connection, which cannot be reused, and ends its attempt. */
  @Override
  public void responseMalformed() {
    Attempt attempt = receiver.detachAttempt();
    channel.close();
    if (attempt != null) {
      attempt.end(attempt.statusIfMalformed(), null);
    }
  }

  // Closing

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    countDecodingBytes(0);
    boolean deadWhenReused = hasCompletedResponse && !receiver.response().hasStarted();
    Attempt attempt = receiver.detachAttempt();
    owner.connectionClosed(this);
    if (attempt != null) {
      if (deadWhenReused) {
        reuse.recordDead(idleTimeBeforeReuseMs);
      }
      attempt.end(attempt.statusIfConnectionClosed(deadWhenReused), null);
    }
  }

  /** Closes the connection after a reset or an exception in this gateway's own code. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    receiver.markConnectionFailed();
    ctx.close();
  }
}
