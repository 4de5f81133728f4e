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

/** Which connection a call to the counter goes to, without sockets. */
class CounterRoutingTest {

  private static final int MAX_OWED_REPLIES = 256;
  private static final long RETIREMENT_MS = 1_300;

  private final EmbeddedChannel timers = new EmbeddedChannel();
  private final List<EmbeddedChannel> channels = new ArrayList<>();
  private final List<CounterReplied> ends = new ArrayList<>();
  private long nanos;
  private boolean reachable = true;
  private final CounterClient client =
      new CounterClient(
          timers.eventLoop(),
          new MonotonicClock(() -> nanos),
          (address, handler) -> open(handler),
          address(80),
          5_000,
          ends::add);

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private ChannelFuture open(ChannelHandler handler) {
    EmbeddedChannel channel = new EmbeddedChannel(handler);
    if (!reachable) {
      return channel.newFailedFuture(new IllegalStateException("as the test has it"));
    }
    channels.add(channel);
    return channel.newSucceededFuture();
  }

  @BeforeEach
  void start() {
    client.start();
    assertEquals(CounterClient.CONNECTIONS, channels.size());
  }

  private void advance(long ms) {
    nanos += TimeUnit.MILLISECONDS.toNanos(ms);
    timers.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    timers.runScheduledPendingTasks();
  }

  /** The number of the channel that a call is written to. */
  private int channelOf(String counterName) {
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

  /** On two connections, the second call could be executed first, and its total be too low. */
  @Test
  void callsForOneNameGoToOneConnectionWhileOneOfThemIsOpen() {
    int first = channelOf("a");
    assertEquals(first, channelOf("a"));
    assertEquals(first, channelOf("a"));
  }

  @Test
  void callsForOtherNamesGoToTheConnectionThatOwesFewest() {
    int first = channelOf("a");
    int second = channelOf("b");
    assertFalse(first == second);
    for (int i = 2; i < CounterClient.CONNECTIONS; i++) {
      channelOf("n" + i);
    }
    channels.get(second).writeInbound(Unpooled.copiedBuffer("ok 1\r\n", US_ASCII));
    assertEquals(second, channelOf("c"));
  }

  /** A counter that is silent must not fill the memory with calls that wait for it. */
  @Test
  void aCallFailsAtOnceWhereItsConnectionOwesTooManyReplies() {
    for (int i = 0; i < MAX_OWED_REPLIES; i++) {
      channelOf("a");
    }
    assertEquals(List.of(), ends);
    assertEquals(-1, channelOf("a"));
    assertEquals(List.of(new CounterReplied("a", Status.CONNECT_FAILED, 0, 0)), ends);
  }

  /** The counter moves, and the new address does not come up for a while. */
  @Test
  void usesConnectionsOfTheOldAddressUntilOneOfTheNewIsUpOrTheyRetire() {
    reachable = false;
    client.changeAddress(address(81));
    assertTrue(channelOf("a") >= 0);
    advance(RETIREMENT_MS + 1);
    assertTrue(channels.stream().noneMatch(EmbeddedChannel::isActive));
    assertEquals(-1, channelOf("b"));
  }
}
