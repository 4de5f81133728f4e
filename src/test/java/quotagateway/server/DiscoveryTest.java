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

/**
 * Tests updates of the endpoint list: how they are received and which backends get requests
 * afterwards.
 */
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
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    int requestNumber = 0;
    while (!client
        .exchange(TestRequests.get("to-" + name + requestNumber++, 3000))
        .text()
        .equals(name)) {
      assertTrue(System.nanoTime() < deadline, "no request goes to " + name);
    }
  }

  @Test
  void acceptsMessageSplitAcrossChunks() throws Exception {
    int firstPort = namedBackend("1").port();
    int secondPort = namedBackend("2").port();
    fixture.start(fixture.config(EndpointListJson.entry("s-1", firstPort, "active")));
    assertEquals(
        "GET /discovery/hosts?stream=1&index=7 HTTP/1.1",
        TestQueues.next(fixture.discovery.watches));
    requestUntilServedBy("1");
    String message =
        EndpointListJson.list(
                8,
                false,
                EndpointListJson.entry("s-1", firstPort, "leaving"),
                EndpointListJson.entry("s-2", secondPort, "active"))
            + "\n";
    fixture.discovery.send("\n" + message.substring(0, 30));
    fixture.discovery.send(message.substring(30, 90));
    fixture.discovery.send(message.substring(90) + "\n");
    requestUntilServedBy("2");
    TestClient client = fixture.client();
    for (int i = 0; i < 20; i++) {
      assertEquals("2", client.exchange(TestRequests.get("r" + i, 3000)).text());
    }
  }

  /**
   * An endpoint starts draining while a connection to it is still being established. The attempt
   * that waits for the connection must not be written to it.
   */
  @Test
  void doesNotWriteAttemptToBackendThatDrainsDuringConnect() throws Exception {
    List<SocketChannel> fillingChannels = new ArrayList<>();
    try (ServerSocket blockedServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 8; i++) {
        SocketChannel channel = SocketChannel.open();
        fillingChannels.add(channel);
        channel.configureBlocking(false);
        channel.connect(blockedServer.getLocalSocketAddress());
      }
      String config =
          fixture.config(EndpointListJson.entry("s-1", blockedServer.getLocalPort(), "active"));
      fixture.start(
          config
              .replace("\"DialTimeoutMs\":250", "\"DialTimeoutMs\":20000")
              .replace("\"Cancel\":true", "\"Cancel\":false")
              .replace("\"DeadlineMs\":4000", "\"DeadlineMs\":15000"));
      TestQueues.next(fixture.discovery.watches);
      TestClient client = fixture.client();
      long startNanos = System.nanoTime();
      client.send(
          TestRequests.post("r1", "b")
              .replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: 15000"));
      TestQueues.next(fixture.counter.calls);
      // The second call follows the first one's reply, so the first attempt has started by then.
      fixture.client().send(TestRequests.post("r2", "b"));
      TestQueues.next(fixture.counter.calls);
      fixture.discovery.send(
          EndpointListJson.list(
                  8, false, EndpointListJson.entry("s-1", blockedServer.getLocalPort(), "leaving"))
              + "\n");
      assertEquals(503, client.receive().status());
      assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(9));
    } finally {
      for (SocketChannel channel : fillingChannels) {
        channel.close();
      }
    }
  }

  @Test
  void closesWatchOnInvalidListAndResumesFromLastVersion() throws Exception {
    fixture.start();
    TestQueues.next(fixture.discovery.watches);
    fixture.discovery.send(EndpointListJson.list(9, false) + "\n");
    fixture.discovery.send("{\"version\":10,\"servers\":[{\"id\":\n");
    assertTrue(TestQueues.next(fixture.discovery.watches).contains("index=9 "));
    assertEquals(200, fixture.client().exchange(TestRequests.get("r1", 3000)).status());
  }

  /** The gateway requests an invalid list repeatedly but logs only one warning. */
  @Test
  void logsOneWarningForConsecutiveInvalidLists() throws Exception {
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
      assertEquals(200, fixture.client().exchange(TestRequests.get("r1", 3000)).status());
    }
  }

  /**
   * An invalid entry must not hide the others, and a message without a list must not empty the
   * endpoint list.
   */
  @Test
  void skipsUnusableEntries() throws Exception {
    int secondPort = namedBackend("2").port();
    fixture.start();
    TestQueues.next(fixture.discovery.watches);
    fixture.discovery.send(
        EndpointListJson.list(
                9,
                false,
                EndpointListJson.entry("s-9", 1, "active").replace("127.0.0.1:1", "nowhere"),
                "{\"id\":7}",
                EndpointListJson.entry("s-1", fixture.backend.port(), "leaving"),
                EndpointListJson.entry("s-2", secondPort, "active"))
            + "\n");
    requestUntilServedBy("2");
    fixture.discovery.send("{\"version\":-4,\"full\":true}\n");
    assertTrue(TestQueues.next(fixture.discovery.watches).contains("index=9 "));
    requestUntilServedBy("2");
  }

  /**
   * Discovery's host vanishes without resetting the connection. The watch is replaced because it is
   * silent.
   */
  @Test
  void replacesASilentWatch() throws Exception {
    fixture.start();
    TestQueues.next(fixture.discovery.watches);
    assertTrue(TestQueues.next(fixture.discovery.watches).contains("index=7 "));
  }

  /**
   * An update that a silent watch missed must arrive within 6 s, even if the next watches receive
   * no response.
   */
  @Test
  void receivesUpdateMissedBySilentWatchAlthoughNextWatchesGetNoResponse() throws Exception {
    int secondPort = namedBackend("2").port();
    AtomicInteger watches = new AtomicInteger();
    AtomicLong silentSince = new AtomicLong();
    int agentPort =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  HttpMessage.read(in);
                  int watchNumber = watches.incrementAndGet();
                  if (watchNumber == 1) {
                    TextStreams.write(out, FakeDiscovery.RESPONSE_HEAD);
                    silentSince.set(System.nanoTime());
                  } else if (watchNumber > 3) {
                    String list =
                        EndpointListJson.list(
                            8, true, EndpointListJson.entry("s-2", secondPort, "active"));
                    TextStreams.write(out, FakeDiscovery.RESPONSE_HEAD + FakeDiscovery.chunk(list));
                  }
                })
            .port();
    String config = fixture.config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"));
    fixture.start(
        config.replace(
            "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(),
            "\"discovery\":\"127.0.0.1:" + agentPort));
    requestUntilServedBy("2");
    assertTrue(System.nanoTime() - silentSince.get() < TimeUnit.SECONDS.toNanos(6));
  }

  /**
   * The discovery agent closes the first 14 watches, and the gateway must retry within 500 ms on
   * average. A draining endpoint leaves 1 s for its last requests; if the backoff grew with each
   * failure, the gateway would learn of the draining too late after the agent returns.
   */
  @Test
  void resumesWatchSoonAfterAgentReturns() throws Exception {
    int secondPort = namedBackend("2").port();
    AtomicInteger watches = new AtomicInteger();
    int agentPort =
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
                          8, true, EndpointListJson.entry("s-2", secondPort, "active"));
                  TextStreams.write(out, FakeDiscovery.RESPONSE_HEAD + FakeDiscovery.chunk(list));
                })
            .port();
    String config = fixture.config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"));
    fixture.start(
        config.replace(
            "\"discovery\":\"127.0.0.1:" + fixture.discovery.port(),
            "\"discovery\":\"127.0.0.1:" + agentPort));
    long startNanos = System.nanoTime();
    requestUntilServedBy("2");
    assertTrue(System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(14 * 500));
  }

  /**
   * Discovery may indent its messages and send several at once. An invalid message would be logged,
   * and its watch closed before any request could use a list that follows it. The test does not
   * count watches: on a busy machine the first watch may start too late or be silent for too long,
   * so that another one is opened.
   */
  @Test
  void acceptsConsecutiveIndentedLists() throws Exception {
    int firstPort = fixture.backend.port();
    int secondPort = namedBackend("2").port();
    try (LogCapture warnings = new LogCapture(DiscoveryClient.class)) {
      fixture.start();
      TestQueues.next(fixture.discovery.watches);
      FakeDiscovery.Watch watch = fixture.discovery.newestWatch();
      String lists = consecutiveIndentedLists(firstPort, secondPort);
      watch.send(lists.substring(0, 50), lists.substring(50));
      requestUntilServedBy("2");
      assertTrue(watch.isOpen(), "the watch was closed on valid lists");
      assertEquals(List.of(), warnings.messages(), "valid lists were rejected");
    }
  }

  /**
   * A watch whose response begins after the time limit has been replaced by then. The fake agent
   * holds the first response back until the next watch has been requested. Lists on the next watch
   * must be accepted.
   */
  @Test
  void acceptsListsAfterWatchWithLateResponse() throws Exception {
    int firstPort = fixture.backend.port();
    int secondPort = namedBackend("2").port();
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
      String lists = consecutiveIndentedLists(firstPort, secondPort);
      watch.send(lists.substring(0, 50), lists.substring(50));
      requestUntilServedBy("2");
      assertTrue(watch.isOpen(), "the watch was closed on valid lists");
      assertEquals(List.of(), warnings.messages(), "valid lists were rejected");
    }
  }

  private static String consecutiveIndentedLists(int firstPort, int secondPort) {
    return EndpointListJson.list(8, false, EndpointListJson.entry("s-1", firstPort, "leaving"))
            .replace(",", ",\n  ")
            .replace("{", "{\r\n\t")
        + "\n\n"
        + EndpointListJson.list(9, false, EndpointListJson.entry("s-2", secondPort, "active"));
  }
}
