package quotagateway.discovery;

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
import org.junit.jupiter.api.Test;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeDiscovery;
import quotagateway.transport.MonotonicClock;

/**
 * Tests when watches are opened, replaced and closed, without sockets and with a manually advanced
 * clock, so that delays of the machine do not affect the result.
 */
class DiscoveryClientTest {

  private static final long RESPONSE_TIMEOUT_MS = 500;
  private static final long SILENCE_TIMEOUT_MS = 2_500;
  private static final long PARTIAL_MESSAGE_TIMEOUT_MS = 300;

  /** Longest delay before the watch that follows an ended one, if no earlier watch ended. */
  private static final long FIRST_BACKOFF_MS = 150;

  private static final InetSocketAddress AGENT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 80);

  private final EmbeddedChannel timers = new EmbeddedChannel();
  private final List<EmbeddedChannel> watches = new ArrayList<>();
  private final List<EndpointUpdate> updates = new ArrayList<>();
  private long nanos;
  private final DiscoveryClient client =
      new DiscoveryClient(
          timers.eventLoop(),
          new MonotonicClock(() -> nanos),
          (address, handler) -> open(handler),
          AGENT,
          7,
          1_000,
          updates::add);

  private ChannelFuture open(ChannelHandler handler) {
    EmbeddedChannel watch = new EmbeddedChannel(handler);
    watches.add(watch);
    return watch.newSucceededFuture();
  }

  /** Advances the clock and the timers one millisecond at a time. */
  private void advance(long ms) {
    for (long i = 0; i < ms; i++) {
      nanos += TimeUnit.MILLISECONDS.toNanos(1);
      timers.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      timers.runScheduledPendingTasks();
    }
  }

  private EmbeddedChannel watch(int number) {
    return watches.get(number - 1);
  }

  private static void receive(EmbeddedChannel watch, String text) {
    watch.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
  }

  private static String requestLine(EmbeddedChannel watch) {
    ByteBuf request = watch.readOutbound();
    try {
      return request.toString(US_ASCII).lines().findFirst().orElseThrow();
    } finally {
      request.release();
    }
  }

  private static String message(int version) {
    return FakeDiscovery.chunk(EndpointListJson.list(version, false) + "\n");
  }

  private List<Long> versions() {
    return updates.stream().map(EndpointUpdate::version).toList();
  }

  /** Line ends and indentation between and within messages are valid, so the watch stays open. */
  @Test
  void keepsWatchOpenForConsecutiveIndentedMessages() {
    client.start();
    String indented = EndpointListJson.list(8, false).replace(",", ",\n  ").replace("{", "{\r\n\t");
    String messages = indented + "\n\n" + EndpointListJson.list(9, false);
    receive(watch(1), FakeDiscovery.RESPONSE_HEAD);
    receive(watch(1), FakeDiscovery.chunk(messages.substring(0, 20)));
    receive(watch(1), FakeDiscovery.chunk(messages.substring(20)));
    assertEquals(List.of(8L, 9L), versions());
    advance(SILENCE_TIMEOUT_MS - 1);
    assertEquals(1, watches.size());
    assertTrue(watch(1).isActive());
  }

  /** A machine that vanishes after it accepted the connection does not reset it. */
  @Test
  void replacesWatchWithoutResponse() {
    client.start();
    advance(RESPONSE_TIMEOUT_MS - 1);
    assertEquals(1, watches.size());
    advance(3);
    assertEquals(2, watches.size());
  }

  /** Until the new watch is established, the old watch may be the only source of changes. */
  @Test
  void usesReplacedWatchUntilNextWatchReceivesData() {
    client.start();
    advance(RESPONSE_TIMEOUT_MS + 2);
    receive(watch(1), FakeDiscovery.RESPONSE_HEAD + message(8));
    assertEquals(List.of(8L), versions());
    assertTrue(watch(1).isActive());
    receive(watch(2), FakeDiscovery.RESPONSE_HEAD);
    assertTrue(watch(1).isActive());
    receive(watch(2), message(9));
    assertEquals(List.of(8L, 9L), versions());
    assertFalse(watch(1).isActive());
  }

  /** Each watch was closed before its answer came, so that no list ever arrived. */
  @Test
  void hearsAnAgentThatAnswersEachWatchAfterSeveralTimeouts() {
    client.start();
    advance(5 * (RESPONSE_TIMEOUT_MS + 2));
    assertEquals(6, watches.size());
    receive(watch(1), FakeDiscovery.RESPONSE_HEAD + message(8));
    assertEquals(List.of(8L), versions());
    receive(watch(3), FakeDiscovery.RESPONSE_HEAD + message(9));
    assertEquals(List.of(8L, 9L), versions());
    assertFalse(watch(1).isActive());
    assertFalse(watch(2).isActive());
    assertTrue(watch(4).isActive());
  }

  @Test
  void numberOfSilentWatchesIsBounded() {
    client.start();
    advance(20 * (RESPONSE_TIMEOUT_MS + 2));
    assertEquals(7, watches.stream().filter(EmbeddedChannel::isActive).count());
  }

  /** An established watch of a machine that vanished stays open but silent. */
  @Test
  void replacesWatchWithoutDataOrHeartbeats() {
    client.start();
    receive(watch(1), FakeDiscovery.RESPONSE_HEAD + message(8));
    for (int i = 0; i < 5; i++) {
      advance(2_000);
      receive(watch(1), FakeDiscovery.chunk("\n"));
    }
    advance(SILENCE_TIMEOUT_MS - 1);
    assertEquals(1, watches.size());
    advance(3);
    assertEquals(2, watches.size());
    requestLine(watch(1));
    assertEquals("GET /discovery/hosts?stream=1&index=8 HTTP/1.1", requestLine(watch(2)));
  }

  /** Nothing after an invalid message can be read, so a new watch requests the missed changes. */
  @Test
  void closesWatchAfterInvalidMessageAndResumesFromLastValidVersion() {
    client.start();
    receive(watch(1), FakeDiscovery.RESPONSE_HEAD + message(8));
    receive(watch(1), FakeDiscovery.chunk("{\"version\":9}") + message(10));
    assertEquals(List.of(8L), versions());
    assertFalse(watch(1).isActive());
    advance(FIRST_BACKOFF_MS + 1);
    assertEquals(2, watches.size());
    assertEquals("GET /discovery/hosts?stream=1&index=8 HTTP/1.1", requestLine(watch(2)));
  }

  /** Discovery would refuse every watch for the changes after a version that it does not have. */
  @Test
  void keepsLastVersionWhenMessageHasNoValidVersion() {
    client.start();
    receive(watch(1), FakeDiscovery.RESPONSE_HEAD + message(8) + message(-4) + message(0));
    assertEquals(List.of(8L, -4L, 0L), versions());
    watch(1).close();
    advance(FIRST_BACKOFF_MS + 1);
    assertEquals("GET /discovery/hosts?stream=1&index=8 HTTP/1.1", requestLine(watch(2)));
  }

  /**
   * Without the timeout, heartbeats would keep such a watch open and be read as part of the
   * message.
   */
  @Test
  void closesWatchThatStopsWithinMessage() {
    client.start();
    receive(watch(1), FakeDiscovery.RESPONSE_HEAD + FakeDiscovery.chunk("{\"version\":9,"));
    advance(PARTIAL_MESSAGE_TIMEOUT_MS - 1);
    assertTrue(watch(1).isActive());
    advance(2);
    assertFalse(watch(1).isActive());
  }

  /** The agent may be running before it has a list, so the next watch starts soon. */
  @Test
  void closesWatchThatIsAnsweredWithError() {
    client.start();
    receive(watch(1), "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
    assertFalse(watch(1).isActive());
    advance(FIRST_BACKOFF_MS + 1);
    assertEquals(2, watches.size());
  }

  /**
   * The agent, or a proxy in front of it, may answer with an error whose body is an endpoint list
   * that must not be used. The body arrives in the same read as the header, before the watch is
   * closed.
   */
  @Test
  void ignoresTheBodyOfAnErrorResponse() {
    client.start();
    receive(watch(1), "HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n" + message(8));
    assertEquals(List.of(), versions());
  }
}
