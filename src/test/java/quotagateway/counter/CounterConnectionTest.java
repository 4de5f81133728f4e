package quotagateway.counter;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import quotagateway.policy.event.Status;
import quotagateway.transport.MonotonicClock;

/** One connection to the counter, without sockets and in time that the test advances. */
class CounterConnectionTest {

  private static final double SILENCE_TIMEOUT_MS = 600;
  private static final long PING_INTERVAL_MS = 3_000;
  private static final long PARTIAL_LINE_TIMEOUT_MS = 10;

  /** The longest delay before the first attempt to connect again. */
  private static final long FIRST_BACKOFF_MS = 75;

  private final EmbeddedChannel timers = new EmbeddedChannel();
  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private final List<String> ends = new ArrayList<>();
  private long nanos;
  private boolean inUse = true;
  private boolean closed;
  private final MonotonicClock clock = new MonotonicClock(() -> nanos);
  private final CounterConnection connection =
      new CounterConnection(
          timers.eventLoop(),
          clock,
          (address, handler) -> open(handler),
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 80),
          SILENCE_TIMEOUT_MS,
          new Owner());

  private final class Owner implements CounterConnection.Owner {

    @Override
    public boolean isInUse(CounterConnection asked) {
      return inUse;
    }

    @Override
    public void onClosed(CounterConnection ended) {
      closed = true;
    }

    @Override
    public void onCallEnded(CounterCall call, Status status, double total) {
      ends.add(call.counterName() + " " + status + " " + total);
    }
  }

  private ChannelFuture open(ChannelHandler handler) {
    EmbeddedChannel channel = new EmbeddedChannel(handler);
    channels.add(channel);
    return channel.newSucceededFuture();
  }

  @BeforeEach
  void connect() {
    connection.connect();
  }

  private void advance(long ms) {
    for (long i = 0; i < ms; i++) {
      nanos += TimeUnit.MILLISECONDS.toNanos(1);
      timers.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      timers.runScheduledPendingTasks();
    }
  }

  private void call(String name) {
    CounterCall call = CounterCall.increment(name, clock.now(), connection);
    connection.send(call, CounterLineCodec.encodeIncrement(name, 1, 4_000));
  }

  private void receive(String text) {
    channels.get(channels.size() - 1).writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
  }

  private String written() {
    ByteBuf bytes = channels.get(channels.size() - 1).readOutbound();
    try {
      return bytes.toString(US_ASCII);
    } finally {
      bytes.release();
    }
  }

  @Test
  void matchesRepliesToCallsInTheirOrder() {
    call("a");
    call("b");
    call("c");
    receive("ok 1\r\nbusy\r\n");
    assertEquals(List.of("a OK 1.0", "b REJECTED 0.0"), ends);
    assertEquals(1, connection.owedReplies());
  }

  /**
   * The total cannot be read, and what follows may be anything: calls behind it may have been
   * added.
   */
  @Test
  void endsTheChannelAtAMalformedReply() {
    call("a");
    call("b");
    receive("what?\r\n");
    assertFalse(channels.get(0).isActive());
    assertTrue(ends.contains("a MALFORMED_RESPONSE 0.0"), ends + "");
    assertTrue(ends.contains("b RESET 0.0"), ends + "");
    advance(FIRST_BACKOFF_MS + 1);
    assertEquals(2, channels.size());
    assertTrue(connection.isOpen());
  }

  /**
   * A proper reply comes in one read with a malformed one before it. It may be the reply to the
   * call that the malformed one ended; taken for the next one's, a customer would get another's
   * total.
   */
  @Test
  void ignoresRepliesBehindAMalformedOne() {
    call("a");
    call("b");
    receive("what?\r\nok 5\r\n");
    assertEquals(List.of("a MALFORMED_RESPONSE 0.0", "b RESET 0.0"), ends);
  }

  /** The next reply would be added to such bytes, and its total misread. */
  @Test
  void endsTheChannelAtNoiseWithoutALineEnd() {
    call("a");
    receive("ok 1");
    advance(PARTIAL_LINE_TIMEOUT_MS - 1);
    assertTrue(connection.isOpen());
    advance(2);
    assertFalse(channels.get(0).isActive());
    assertEquals(List.of("a MALFORMED_RESPONSE 0.0"), ends);
  }

  /** A machine that vanished resets nothing: only silence shows it. */
  @Test
  void endsAChannelThatOwesAReplyAndIsSilent() {
    call("a");
    advance((long) SILENCE_TIMEOUT_MS - 1);
    connection.checkAlive(clock.now());
    assertTrue(channels.get(0).isActive());
    advance(3);
    connection.checkAlive(clock.now());
    assertFalse(channels.get(0).isActive());
    assertEquals(List.of("a RESET 0.0"), ends);
  }

  /** The counter closes idle connections, and a dead one must show before it is needed. */
  @Test
  void pingsAnIdleChannel() {
    advance(PING_INTERVAL_MS + 1);
    connection.checkAlive(clock.now());
    assertEquals("ping\r\n", written());
    receive("pong\r\n");
    assertTrue(connection.isOpen());
    assertEquals(0, connection.owedReplies());
  }

  /** The total would be that of no call. */
  @Test
  void endsTheChannelAtATotalForAPing() {
    advance(PING_INTERVAL_MS + 1);
    connection.checkAlive(clock.now());
    receive("ok 1\r\n");
    assertFalse(channels.get(0).isActive());
  }

  /** After a change of address the old connections are not wanted any more. */
  @Test
  void doesNotConnectAgainWhenItIsNotInUse() {
    inUse = false;
    channels.get(0).close();
    advance(FIRST_BACKOFF_MS + 1);
    assertEquals(1, channels.size());
    assertTrue(closed);
  }
}
