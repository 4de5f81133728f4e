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

/** Tests a connection to the counter without sockets and with a manually advanced clock. */
class CounterConnectionTest {

  private static final double SILENCE_TIMEOUT_MS = 600;
  private static final long PING_INTERVAL_MS = 3_000;
  private static final long PARTIAL_LINE_TIMEOUT_MS = 10;

  /** Longest delay before the first reconnect attempt. */
  private static final long FIRST_BACKOFF_MS = 75;

  private final EmbeddedChannel timers = new EmbeddedChannel();
  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private final List<String> results = new ArrayList<>();
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
          new RecordingOwner());

  private final class RecordingOwner implements CounterConnection.Owner {

    @Override
    public boolean isInUse(CounterConnection queriedConnection) {
      return inUse;
    }

    @Override
    public void onClosed(CounterConnection closedConnection) {
      closed = true;
    }

    @Override
    public void onCallCompleted(CounterCall call, Status status, double total) {
      results.add(call.counterName() + " " + status + " " + total);
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
  void matchesRepliesToCallsInOrder() {
    call("a");
    call("b");
    call("c");
    receive("ok 1\r\nbusy\r\n");
    assertEquals(List.of("a OK 1.0", "b REJECTED 0.0"), results);
    assertEquals(1, connection.pendingReplyCount());
  }

  /**
   * After a malformed reply, whatever follows is unreliable. The calls after the failed one may
   * have been executed, so they end as reset.
   */
  @Test
  void closesChannelAndReconnectsAfterMalformedReply() {
    call("a");
    call("b");
    receive("what?\r\n");
    assertFalse(channels.get(0).isActive());
    assertTrue(results.contains("a MALFORMED_RESPONSE 0.0"), results + "");
    assertTrue(results.contains("b RESET 0.0"), results + "");
    advance(FIRST_BACKOFF_MS + 1);
    assertEquals(2, channels.size());
    assertTrue(connection.isOpen());
  }

  /**
   * A valid reply arrives in the same read after a malformed one. It may be the reply to the call
   * that the malformed reply failed. If it were matched to the next call, a customer would get the
   * total of another customer.
   */
  @Test
  void ignoresRepliesAfterMalformedReply() {
    call("a");
    call("b");
    receive("what?\r\nok 5\r\n");
    assertEquals(List.of("a MALFORMED_RESPONSE 0.0", "b RESET 0.0"), results);
  }

  /** Without the timeout, the next reply would be appended to such bytes and its total misread. */
  @Test
  void closesChannelWhenPartialLineStalls() {
    call("a");
    receive("ok 1");
    advance(PARTIAL_LINE_TIMEOUT_MS - 1);
    assertTrue(connection.isOpen());
    advance(2);
    assertFalse(channels.get(0).isActive());
    assertEquals(List.of("a MALFORMED_RESPONSE 0.0"), results);
  }

  /**
   * A machine that vanished does not reset its connections, so only its silence reveals the
   * failure.
   */
  @Test
  void closesSilentChannelWithPendingReply() {
    call("a");
    advance((long) SILENCE_TIMEOUT_MS - 1);
    connection.checkLiveness(clock.now());
    assertTrue(channels.get(0).isActive());
    advance(3);
    connection.checkLiveness(clock.now());
    assertFalse(channels.get(0).isActive());
    assertEquals(List.of("a RESET 0.0"), results);
  }

  /**
   * The counter closes idle connections, and a dead connection has to be detected before it is
   * needed.
   */
  @Test
  void pingsIdleChannel() {
    advance(PING_INTERVAL_MS + 1);
    connection.checkLiveness(clock.now());
    assertEquals("ping\r\n", written());
    receive("pong\r\n");
    assertTrue(connection.isOpen());
    assertEquals(0, connection.pendingReplyCount());
  }

  /** A total in reply to a ping belongs to no call. */
  @Test
  void closesChannelWhenPingIsAnsweredWithTotal() {
    advance(PING_INTERVAL_MS + 1);
    connection.checkLiveness(clock.now());
    receive("ok 1\r\n");
    assertFalse(channels.get(0).isActive());
  }

  /** After an address change, the connections to the old address are no longer needed. */
  @Test
  void doesNotReconnectWhenNoLongerInUse() {
    inUse = false;
    channels.get(0).close();
    advance(FIRST_BACKOFF_MS + 1);
    assertEquals(1, channels.size());
    assertTrue(closed);
  }
}
