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
 * One kept connection to the counter, with the calls whose replies it owes, in order. A channel
 * that is lost or useless is replaced after a backoff, for as long as the client uses the
 * connection. Not thread-safe: belongs to its event loop.
 */
final class CounterConnection extends ChannelInitializer<Channel> {

  /**
   * How long a connection is idle before it is pinged. The counter closes one that is idle for
   * about 10 s or less; a ping keeps it open, and shows whether it is dead.
   */
  private static final double PING_INTERVAL_MS = 3_000;

  /** Base of the delay before the first attempt to connect again. */
  private static final double MIN_BACKOFF_MS = 50;

  /** Bounds the base of later delays: with jitter, the next attempt follows within 600 ms. */
  private static final double MAX_BACKOFF_MS = 400;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Dialer dialer;
  private final InetSocketAddress address;
  private final double silenceTimeoutMs;
  private final Owner owner;
  private final ArrayDeque<CounterCall> owed = new ArrayDeque<>();
  private final ExponentialBackoff backoff =
      new ExponentialBackoff(MIN_BACKOFF_MS, () -> ThreadLocalRandom.current().nextDouble());

  /** Null while there is none, and once it turned out to be useless. */
  private Channel channel;

  /** Whether it was closed for good. */
  private boolean closed;

  /** When the last line came, or the channel came up where that was later. */
  private double lastLineAtMs;

  /** The client that the connection belongs to. */
  interface Owner {

    /** Whether the connection is to be kept up. */
    boolean isInUse(CounterConnection connection);

    /** The connection is closed for good. */
    void onClosed(CounterConnection connection);

    /**
     * A call has ended; it may have timed out before.
     *
     * @param total the count after the increment; 0 except with {@link Status#OK}
     */
    void onCallEnded(CounterCall call, Status status, double total);
  }

  /**
   * Creates a connection that has yet to be connected.
   *
   * @param silenceTimeoutMs for how long it may owe a reply without any coming, in milliseconds
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

  /** Opens a channel; where that fails, does so again after a backoff. */
  void connect() {
    dialer.dial(address, this).addListener((ChannelFuture connected) -> onConnect(connected));
  }

  private void onConnect(ChannelFuture connected) {
    if (closed) {
      connected.channel().close();
    } else if (connected.isSuccess()) {
      channel = connected.channel();
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

  /** Closes it for good; calls whose replies it owes end with its channel. */
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

  /** How many calls wait for their replies, those that timed out included. */
  int owedReplies() {
    return owed.size();
  }

  /** When the last line came, or the channel came up, in milliseconds. */
  double lastLineAtMs() {
    return lastLineAtMs;
  }

  /** Writes a call; to be called while the connection is open. */
  void send(CounterCall call, String line) {
    owed.add(call);
    ByteBuf bytes = channel.alloc().buffer(line.length());
    bytes.writeCharSequence(line, StandardCharsets.US_ASCII);
    channel.writeAndFlush(bytes).addListener(write -> call.setWritten(write.isSuccess()));
  }

  /**
   * Pings the connection when it is idle, and closes it when it owes a reply and is silent.
   * Prevents calls from waiting for a machine that has vanished, which resets nothing: each would
   * time out. Cost: a ping every few seconds of idleness.
   */
  void checkAlive(double now) {
    if (!isOpen()) {
      return;
    }
    if (owed.isEmpty()) {
      pingIfIdle(now);
    } else {
      double silentSinceMs = Math.max(lastLineAtMs, owed.peekFirst().startedAtMs());
      if (now - silentSinceMs > silenceTimeoutMs) {
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
  protected void initChannel(Channel opened) {
    CounterReplyHandler.LineDecoder lines = new CounterReplyHandler.LineDecoder();
    opened.pipeline().addLast(lines, new CounterReplyHandler(this, lines, loop));
  }

  /**
   * A line has come: the reply to the first call that waits for one, or junk. Behind a malformed
   * reply it is neither: the decoder passes on all lines of one read, and the next of them may be
   * the reply to the call that has just ended.
   */
  void onLine(String line) {
    if (channel == null) {
      return;
    }
    lastLineAtMs = clock.now();
    CounterReply reply = CounterLineCodec.decodeReply(line);
    if (owed.isEmpty() || !fits(reply, owed.peekFirst())) {
      onMalformedReply();
      return;
    }
    CounterCall call = owed.pollFirst();
    if (reply.kind() == CounterReply.Kind.REJECTED) {
      owner.onCallEnded(call, Status.REJECTED, 0);
      return;
    }
    backoff.reset();
    if (!call.isPing()) {
      owner.onCallEnded(call, Status.OK, reply.total());
    }
  }

  private static boolean fits(CounterReply reply, CounterCall call) {
    return switch (reply.kind()) {
      case TOTAL -> !call.isPing();
      case PONG -> call.isPing();
      case REJECTED -> true;
      case MALFORMED -> false;
    };
  }

  /**
   * Ends the channel, and the first call that waits for a reply: its amount may have been added.
   * Prevents a later reply from being taken for that of another call. Cost: the calls behind it end
   * without their replies.
   */
  void onMalformedReply() {
    CounterCall call = owed.poll();
    Channel useless = channel;
    channel = null;
    if (useless != null) {
      useless.close();
    }
    if (call != null) {
      owner.onCallEnded(call, Status.MALFORMED_RESPONSE, 0);
    }
  }

  /** The channel is closed: a call that was not written added nothing, any other may have. */
  void onDisconnected() {
    channel = null;
    while (!owed.isEmpty()) {
      CounterCall call = owed.poll();
      owner.onCallEnded(call, call.isWritten() ? Status.RESET : Status.CONNECT_FAILED, 0);
    }
    reconnectLater();
  }
}
