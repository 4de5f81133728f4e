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
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.Status;
import quotagateway.transport.MonotonicClock;

/** Tests which connection a counter call uses, without sockets. */
class CounterRoutingTest {

  private static final int MAX_PENDING_REPLIES = 256;
  private static final long RETIREMENT_DELAY_MS = 1_300;

  private final EmbeddedChannel timers = new EmbeddedChannel();
  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private final List<CounterReplied> results = new ArrayList<>();
  private long nanos;
  private boolean reachable = true;
  private final CounterClient client =
      new CounterClient(
          timers.eventLoop(),
          new MonotonicClock(() -> nanos),
          (address, handler) -> open(handler),
          address(80),
          5_000,
          results::add);

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private ChannelFuture open(ChannelHandler handler) {
    EmbeddedChannel channel = new EmbeddedChannel(handler);
    if (!reachable) {
      return channel.newFailedFuture(
          new IllegalStateException("address is unreachable in this test"));
    }
    channels.add(channel);
    return channel.newSucceededFuture();
  }

  @BeforeEach
  void start() {
    client.start();
    assertEquals(CounterClient.CONNECTION_COUNT, channels.size());
  }

  private void advance(long ms) {
    nanos += TimeUnit.MILLISECONDS.toNanos(ms);
    timers.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    timers.runScheduledPendingTasks();
  }

  /**
   * Sends a call and returns the index of the channel that it is written to, or -1 if there is
   * none.
   */
  private int sendAndFindChannel(String counterName) {
    client.increment(counterName, 1, 4_000);
    for (int i = 0; i < channels.size(); i++) {
      ByteBuf line = channels.get(i).readOutbound();
      if (line != null) {
        assertTrue(line.toString(US_ASCII).startsWith("incr " + counterName + " "));
        line.release();
        return i;
      }
    }
    return -1;
  }

  /**
   * On two connections, the second call could be executed before the first, and its total would be
   * too low.
   */
  @Test
  void callsForOneNameUseSameConnectionWhileOneIsOpen() {
    int first = sendAndFindChannel("a");
    assertEquals(first, sendAndFindChannel("a"));
    assertEquals(first, sendAndFindChannel("a"));
  }

  @Test
  void callsForOtherNamesUseConnectionWithFewestPendingReplies() {
    int first = sendAndFindChannel("a");
    int second = sendAndFindChannel("b");
    assertFalse(first == second);
    for (int i = 2; i < CounterClient.CONNECTION_COUNT; i++) {
      sendAndFindChannel("n" + i);
    }
    channels.get(second).writeInbound(Unpooled.copiedBuffer("ok 1\r\n", US_ASCII));
    assertEquals(second, sendAndFindChannel("c"));
  }

  /** A silent counter must not fill the memory with pending calls. */
  @Test
  void callFailsImmediatelyWhenItsConnectionHasTooManyPendingReplies() {
    for (int i = 0; i < MAX_PENDING_REPLIES; i++) {
      sendAndFindChannel("a");
    }
    assertEquals(List.of(), results);
    assertEquals(-1, sendAndFindChannel("a"));
    assertEquals(List.of(new CounterReplied("a", Status.CONNECT_FAILED, 0, 0)), results);
  }

  /** The counter's address changes, and no connection to the new address can be established. */
  @Test
  void usesConnectionsToOldAddressUntilTheyRetireWhenNewAddressIsUnreachable() {
    reachable = false;
    client.changeAddress(address(81));
    assertTrue(sendAndFindChannel("a") >= 0);
    advance(RETIREMENT_DELAY_MS + 1);
    assertTrue(channels.stream().noneMatch(EmbeddedChannel::isActive));
    assertEquals(-1, sendAndFindChannel("b"));
  }
}
