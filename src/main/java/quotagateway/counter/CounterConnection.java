package quotagateway.counter;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import quotagateway.policy.event.Status;
import quotagateway.transport.Dialer;
import quotagateway.transport.ExponentialBackoff;
import quotagateway.transport.MonotonicClock;

/**
 * One persistent connection to the counter, with its calls whose replies are pending, in the order
 * in which they were sent. If the channel is lost or receives a malformed reply, the connection
 * opens a new channel after a backoff, as long as the client uses the connection. Not thread-safe:
 * belongs to its event loop.
 */
final class CounterConnection extends ChannelInitializer<Channel> {

  /**
   * Idle time after which a connection is pinged. The counter closes a connection that has been
   * idle for about 10 s or for a shorter time; a ping keeps the connection open and reveals a dead
   * one.
   */
  private static final double PING_INTERVAL_MS = 3_000;

  /** Base of the delay before the first reconnect attempt. */
  private static final double MIN_BACKOFF_MS = 50;

  /** Limits the base of later delays: with jitter, the next attempt follows within 600 ms. */
  private static final double MAX_BACKOFF_MS = 400;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Dialer dialer;
  private final InetSocketAddress address;
  private final double silenceTimeoutMs;
  private final Owner owner;
  private final ArrayDeque<CounterCall> pendingCalls = new ArrayDeque<>();
  private final ExponentialBackoff backoff =
      new ExponentialBackoff(MIN_BACKOFF_MS, () -> ThreadLocalRandom.current().nextDouble());

  /** Null while disconnected and after a malformed reply. */
  private Channel channel;

  /** Whether the connection is permanently closed. */
  private boolean closed;

  /** When the last line was received or, if later, the channel was connected. */
  private double lastLineAtMs;

  /** Receives the events of a connection; implemented by the client. */
  interface Owner {

    /** Returns whether the connection is to be reconnected when its channel is lost. */
    boolean isInUse(CounterConnection connection);

    /** Called when the connection is permanently closed. */
    void onClosed(CounterConnection connection);

    /**
     * Called when a call has completed, even if it timed out earlier.
     *
     * @param total the count after the increment; 0 unless the status is {@link Status#OK}
     */
    void onCallCompleted(CounterCall call, Status status, double total);
  }

  /**
   * Creates a connection that is not connected yet.
   *
   * @param silenceTimeoutMs longest time without a received line while a reply is pending, in
   *     milliseconds
   */
  CounterConnection(
      EventLoop loop,
      MonotonicClock clock,
      Dialer dialer,
      InetSocketAddress address,
      double silenceTimeoutMs,
      Owner owner) {
    this.loop = loop;
    this.clock = clock;
    this.dialer = dialer;
    this.address = address;
    this.silenceTimeoutMs = silenceTimeoutMs;
    this.owner = owner;
  }

  /** Opens a channel, and retries after a backoff if that fails. */
  void connect() {
    dialer
        .dial(address, this)
        .addListener((ChannelFuture connectFuture) -> onConnect(connectFuture));
  }

  private void onConnect(ChannelFuture connectFuture) {
    if (closed) {
      connectFuture.channel().close();
    } else if (connectFuture.isSuccess()) {
      channel = connectFuture.channel();
      lastLineAtMs = clock.now();
    } else {
      reconnectLater();
    }
  }

  private void reconnectLater() {
    if (!owner.isInUse(this)) {
      closed = true;
      owner.onClosed(this);
      return;
    }
    double delayMs = backoff.nextDelayMs(MAX_BACKOFF_MS);
    loop.schedule(this::reconnect, (long) delayMs, TimeUnit.MILLISECONDS);
  }

  private void reconnect() {
    if (!closed) {
      connect();
    }
  }

  /**
   * Closes the connection permanently. Calls with pending replies complete when the channel closes.
   */
  void close() {
    closed = true;
    owner.onClosed(this);
    if (channel != null) {
      channel.close();
    }
  }

  boolean isOpen() {
    return channel != null && channel.isActive();
  }

  /** Returns the number of calls whose replies are pending, including calls that timed out. */
  int pendingReplyCount() {
    return pendingCalls.size();
  }

  /**
   * Returns when the last line was received or, if later, the channel was connected, in
   * milliseconds.
   */
  double lastLineAtMs() {
    return lastLineAtMs;
  }

  /** Writes a call; must be called only while the connection is open. */
  void send(CounterCall call, String line) {
    pendingCalls.add(call);
    ByteBuf bytes = channel.alloc().buffer(line.length());
    bytes.writeCharSequence(line, StandardCharsets.US_ASCII);
    channel.writeAndFlush(bytes).addListener(write -> call.setWritten(write.isSuccess()));
  }

  /**
   * Pings the connection if it is idle, and closes its channel if a reply is pending and the
   * counter is silent. Without this, calls would keep waiting for a machine that vanished without
   * resetting its connections, and each of them would time out. The drawback is a ping every few
   * seconds while the connection is idle.
   */
  void checkLiveness(double now) {
    if (!isOpen()) {
      return;
    }
    if (pendingCalls.isEmpty()) {
      pingIfIdle(now);
    } else {
      double silenceStartMs = Math.max(lastLineAtMs, pendingCalls.peekFirst().startedAtMs());
      if (now - silenceStartMs > silenceTimeoutMs) {
        channel.close();
      }
    }
  }

  private void pingIfIdle(double now) {
    if (now - lastLineAtMs > PING_INTERVAL_MS) {
      send(CounterCall.ping(now, this), CounterLineCodec.PING);
    }
  }

  @Override
  protected void initChannel(Channel newChannel) {
    CounterReplyHandler.LineDecoder lines = new CounterReplyHandler.LineDecoder();
    newChannel.pipeline().addLast(lines, new CounterReplyHandler(this, lines, loop));
  }

  /**
   * Processes a received line: the reply to the first pending call, or a malformed reply. Ignores
   * the lines that follow a malformed reply, since the decoder passes on all lines of one read and
   * the next line may be the reply to the call that has just failed.
   */
  void onLine(String line) {
    if (channel == null) {
      return;
    }
    lastLineAtMs = clock.now();
    CounterReply reply = CounterLineCodec.decodeReply(line);
    if (pendingCalls.isEmpty() || !matches(reply, pendingCalls.peekFirst())) {
      onMalformedReply();
      return;
    }
    CounterCall call = pendingCalls.pollFirst();
    if (reply.kind() == CounterReply.Kind.REJECTED) {
      owner.onCallCompleted(call, Status.REJECTED, 0);
      return;
    }
    backoff.reset();
    if (!call.isPing()) {
      owner.onCallCompleted(call, Status.OK, reply.total());
    }
  }

  private static boolean matches(CounterReply reply, CounterCall call) {
    return switch (reply.kind()) {
      case TOTAL -> !call.isPing();
      case PONG -> call.isPing();
      case REJECTED -> true;
      case MALFORMED -> false;
    };
  }

  /**
   * Closes the channel and fails the first pending call, whose amount may have been added. Without
   * this, a later reply could be matched to the wrong call. The drawback is that the calls after it
   * complete without their replies.
   */
  void onMalformedReply() {
    CounterCall call = pendingCalls.poll();
    Channel failedChannel = channel;
    channel = null;
    if (failedChannel != null) {
      failedChannel.close();
    }
    if (call != null) {
      owner.onCallCompleted(call, Status.MALFORMED_RESPONSE, 0);
    }
  }

  /**
   * Fails all pending calls and schedules a reconnect. A call that was not written added nothing;
   * any other call may have been executed.
   */
  void onDisconnected() {
    channel = null;
    while (!pendingCalls.isEmpty()) {
      CounterCall call = pendingCalls.poll();
      owner.onCallCompleted(call, call.isWritten() ? Status.RESET : Status.CONNECT_FAILED, 0);
    }
    reconnectLater();
  }
}
