package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.discovery.DiscoveryClient;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeDiscovery;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.LogCapture;
import quotagateway.testing.ScriptedServer;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestLatches;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/** Changes of the endpoint list: how they arrive over the wire, and which backends get requests. */
@Timeout(40)
class DiscoveryTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private ScriptedServer namedBackend(String name) {
    return fixture.listen(
        50,
        (in, out, socket) -> {
          while (true) {
            HttpMessage.read(in);
            TextStreams.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + name);
          }
        });
  }

  private void requestUntilServedBy(String name) throws IOException {
    TestClient client = fixture.client();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    int n = 0;
    while (!client.ask(TestRequests.get("to-" + name + n++, 3000)).text().equals(name)) {
      assertTrue(System.nanoTime() < until, "no request goes to " + name);
    }
  }

  @Test
  void acceptsAMessageThatIsSplitAcrossChunks() throws Exception {
    int first = namedBackend("1").port();
    int second = namedBackend("2").port();
    fixture.start(fixture.config(EndpointListJson.entry("s-1", first, "active")));
    assertEquals(
        "GET /discovery/hosts?stream=1&index=7 HTTP/1.1",
        TestQueues.next(fixture.discovery.watches));
    requestUntilServedBy("1");
    String line =
        EndpointListJson.list(
                8,
                false,
                EndpointListJson.entry("s-1", first, "leaving"),
                EndpointListJson.entry("s-2", second, "active"))
            + "\n";
    fixture.discovery.send("\n" + line.substring(0, 30));
    fixture.discovery.send(line.substring(30, 90));
    fixture.discovery.send(line.substring(90) + "\n");
    requestUntilServedBy("2");
    TestClient client = fixture.client();
    for (int i = 0; i < 20; i++) {
      assertEquals("2", client.ask(TestRequests.get("r" + i, 3000)).text());
    }
  }

  /**
   * A backend's connection is still coming up when its endpoint begins to drain: the attempt must
   * not be written to it any more.
   */
  @Test
  void anAttemptThatWaitsForItsConnectionIsNotWrittenToADrainingBackend() throws Exception {
    List<SocketChannel> filling = new ArrayList<>();
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 8; i++) {
        SocketChannel channel = SocketChannel.open();
        filling.add(channel);
        channel.configureBlocking(false);
        channel.connect(full.getLocalSocketAddress());
      }
      String config = fixture.config(EndpointListJson.entry("s-1", full.getLocalPort(), "active"));
      fixture.start(
          config
              .replace("\"DialTimeoutMs\":250", "\"DialTimeoutMs\":20000")
              .replace("\"Cancel\":true", "\"Cancel\":false")
              .replace("\"DeadlineMs\":4000", "\"DeadlineMs\":15000"));
      TestQueues.next(fixture.discovery.watches);
      TestClient client = fixture.client();
      long from = System.nanoTime();
      client.send(
          TestRequests.post("r1", "b")
              .replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: 15000"));
      TestQueues.next(fixture.counter.calls);
      // The next call follows the first one's answer, so the first attempt is under way.
      fixture.client().send(TestRequests.post("r2", "b"));
      TestQueues.next(fixture.counter.calls);
      fixture.discovery.send(
          EndpointListJson.list(
                  8, false, EndpointListJson.entry("s-1", full.getLocalPort(), "leaving"))
              + "\n");
      assertEquals(503, client.receive().status());
      assertTrue(System.nanoTime() - from < TimeUnit.SECONDS.toNanos(9));
    } finally {
      for (SocketChannel channel : filling) {
        channel.close();
      }
    }
  }

  @Test
  void anInvalidListEndsTheWatchAndTheNextGoesOnFromTheLastVersion() throws Exception {
    fixture.start();
    TestQueues.next(fixture.discovery.watches);
    fixture.discovery.send(EndpointListJson.list(9, false) + "\n");
    fixture.discovery.send("{\"version\":10,\"servers\":[{\"id\":\n");
    assertTrue(TestQueues.next(fixture.discovery.watches).contains("index=9 "));
    assertEquals(200, fixture.client().ask(TestRequests.get("r1", 3000)).status());
  }

  /** An invalid list is requested again and again; those on call get a single warning of it. */
  @Test
  void logsOneWarningForInvalidListsInARow() throws Exception {
    try (LogCapture warnings = new LogCapture(DiscoveryClient.class)) {
      fixture.start();
      for (int i = 0; i < 4; i++) {
        assertTrue(TestQueues.next(fixture.discovery.watches).contains("index=7 "));
        fixture.discovery.send("{\"version\":10,\"servers\":[{\"id\":}]}\n");
      }
      TestQueues.next(fixture.discovery.watches);
      assertEquals(1, warnings.messages().size(), () -> warnings.messages() + "");
      assertTrue(
          warnings.messages().get(0).startsWith("endpoint list rejected version_in_use=7 reason="),
          warnings.messages().get(0));
      assertEquals(200, fixture.client().ask(TestRequests.get("r1", 3000)).status());
    }
  }

  /**
   * Junk in one entry must not hide the others, and a message without a list must not empty the
   * list.
   */
  @Test
  void skipsEntriesThatCannotBeUsed() throws Exception {
    int second = namedBackend("2").port();
    fixture.start();
    TestQueues.next(fixture.discovery.watches);
    fixture.discovery.send(
        EndpointListJson.list(
                9,
                false,
                EndpointListJson.entry("s-9", 1, "active").replace("127.0.0.1:1", "nowhere"),
                "{\"id\":7}",
                EndpointListJson.entry("s-1", fixture.backend.port(), "leaving"),
                EndpointListJson.entry("s-2", second, "active"))
            + "\n");
    requestUntilServedBy("2");
    fixture.discovery.send("{\"version\":-4,\"full\":true}\n");
    assertTrue(TestQueues.next(fixture.discovery.watches).contains("index=9 "));
    requestUntilServedBy("2");
  }

  /**
   * Discovery's machine vanishes, and resets nothing: the watch is replaced for its silence alone.
   */
  @Test
  void replacesASilentWatch() throws Exception {
    fixture.start();
    TestQueues.next(fixture.discovery.watches);
    assertTrue(TestQueues.next(fixture.discovery.watches).contains("index=7 "));
  }

  /**
   * What a silent watch misses counts as notified after 6 s, even if the next watches do not begin.
   */
  @Test
  void receivesInTimeWhatASilentWatchMissedThoughTheNextOnesDoNotBegin() throws Exception {
    int second = namedBackend("2").port();
    AtomicInteger watches = new AtomicInteger();
    AtomicLong silentSince = new AtomicLong();
    int agent =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  HttpMessage.read(in);
                  int number = watches.incrementAndGet();
                  if (number == 1) {
                    TextStreams.write(out, FakeDiscovery.RESPONSE_HEAD);
                    silentSince.set(System.nanoTime());
                  } else if (number > 3) {
                    String list =
                        EndpointListJson.list(
                            8, true, EndpointListJson.entry("s-2", second, "active"));
                    TextStreams.write(out, FakeDiscovery.RESPONSE_HEAD + FakeDiscovery.chunk(list));
                  }
                })
            .port();
    String config = fixture.config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"));
    fixture.start(
        config.replace(
            "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(),
            "\"discovery\":\"127.0.0.1:" + agent));
    requestUntilServedBy("2");
    assertTrue(System.nanoTime() - silentSince.get() < TimeUnit.SECONDS.toNanos(6));
  }

  /** However many watches fail while discovery's agent is away, the next follows soon. */
  @Test
  void watchesAReturningAgentWithinTheSecondThatADrainingEndpointHas() throws Exception {
    int second = namedBackend("2").port();
    AtomicInteger watches = new AtomicInteger();
    int agent =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  if (watches.incrementAndGet() <= 14) {
                    socket.close();
                    return;
                  }
                  HttpMessage.read(in);
                  String list =
                      EndpointListJson.list(
                          8, true, EndpointListJson.entry("s-2", second, "active"));
                  TextStreams.write(out, FakeDiscovery.RESPONSE_HEAD + FakeDiscovery.chunk(list));
                })
            .port();
    String config = fixture.config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"));
    fixture.start(
        config.replace(
            "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(),
            "\"discovery\":\"127.0.0.1:" + agent));
    long from = System.nanoTime();
    requestUntilServedBy("2");
    assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(14 * 500));
  }

  /**
   * Discovery may indent its messages, and send several at once. An invalid one would be logged,
   * and its watch closed before any request sees a list behind it. That another watch is opened
   * proves nothing: on a busy machine the first may begin too late, or be silent for too long.
   */
  @Test
  void acceptsListsThatAreIndentedAndOneBehindAnother() throws Exception {
    int first = fixture.backend.port();
    int second = namedBackend("2").port();
    try (LogCapture warnings = new LogCapture(DiscoveryClient.class)) {
      fixture.start();
      TestQueues.next(fixture.discovery.watches);
      FakeDiscovery.Watch watch = fixture.discovery.newestWatch();
      String lists = indentedListsOneBehindAnother(first, second);
      watch.send(lists.substring(0, 50), lists.substring(50));
      requestUntilServedBy("2");
      assertTrue(watch.isOpen(), "none of it was junk");
      assertEquals(List.of(), warnings.messages(), "none of it was junk");
    }
  }

  /**
   * A watch whose response begins after the time limit has been replaced by then. Here it is held
   * back until the request of the next watch has come. The lists are accepted all the same.
   */
  @Test
  void acceptsListsAfterAWatchThatBeganTooLate() throws Exception {
    int first = fixture.backend.port();
    int second = namedBackend("2").port();
    CountDownLatch twoWatches = new CountDownLatch(2);
    fixture.discovery.beforeResponse =
        () -> {
          twoWatches.countDown();
          TestLatches.await(twoWatches);
        };
    try (LogCapture warnings = new LogCapture(DiscoveryClient.class)) {
      fixture.start();
      TestQueues.next(fixture.discovery.watches);
      TestQueues.next(fixture.discovery.watches);
      FakeDiscovery.Watch watch = fixture.discovery.newestWatch();
      String lists = indentedListsOneBehindAnother(first, second);
      watch.send(lists.substring(0, 50), lists.substring(50));
      requestUntilServedBy("2");
      assertTrue(watch.isOpen(), "none of it was junk");
      assertEquals(List.of(), warnings.messages(), "none of it was junk");
    }
  }

  private static String indentedListsOneBehindAnother(int first, int second) {
    return EndpointListJson.list(8, false, EndpointListJson.entry("s-1", first, "leaving"))
            .replace(",", ",\n  ")
            .replace("{", "{\r\n\t")
        + "\n\n"
        + EndpointListJson.list(9, false, EndpointListJson.entry("s-2", second, "active"));
  }
}
