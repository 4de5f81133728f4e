package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.LogCapture;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/**
 * Tests the gateway with fake peers on loopback: what clients receive and what backends are sent.
 */
@Timeout(30)
class GatewayServerTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  @Test
  void requestAndResponseAreForwardedUnchanged() throws Exception {
    fixture.start();
    String body = "x".repeat(60_000) + "\u00e9\0\r\n";
    fixture.backend.responder =
        (request, out) ->
            TextStreams.write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Length: "
                    + request.body().length
                    + "\r\n\r\n"
                    + request.text());
    HttpMessage response = fixture.client().exchange(TestRequests.post("r1", body));
    HttpMessage forwarded = TestQueues.next(fixture.backend.received);
    assertEquals("POST /buy/9 HTTP/1.1", forwarded.firstLine());
    assertEquals("r1", forwarded.header("Request-Id"));
    assertEquals("key-r1", forwarded.header("Idempotency-Key"));
    assertTrue(Integer.parseInt(forwarded.header("Request-Timeout-Ms")) <= 3000);
    assertArrayEquals(body.getBytes(StandardCharsets.ISO_8859_1), forwarded.body());
    assertEquals(200, response.status());
    assertArrayEquals(forwarded.body(), response.body());
  }

  @Test
  void reusesClientAndBackendConnections() throws Exception {
    AtomicInteger connections = new AtomicInteger();
    int port =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  connections.incrementAndGet();
                  while (true) {
                    fixture.backend.received.add(HttpMessage.read(in));
                    TextStreams.write(out, FakeBackend.OK_RESPONSE);
                  }
                })
            .port();
    fixture.start(fixture.config(EndpointListJson.entry("s-1", port, "active")));
    TestClient client = fixture.client();
    for (int i = 0; i < 5; i++) {
      assertEquals("fine", client.exchange(TestRequests.get("r" + i, 3000)).text());
      assertEquals(
          "GET /quote/17?a=%20b&c HTTP/1.1", TestQueues.next(fixture.backend.received).firstLine());
      // The pool reuses a connection only after verifying that nothing follows the response.
      TimeUnit.MILLISECONDS.sleep(30);
    }
    assertEquals(1, connections.get());
  }

  @Test
  void pipelinedRequestsGetTheirResponsesInOrder() throws Exception {
    fixture.start();
    fixture.backend.responder =
        (request, out) ->
            TextStreams.write(
                out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + request.header("Request-Id"));
    TestClient client = fixture.client();
    client.send(
        TestRequests.get("r1", 3000) + TestRequests.get("r2", 3000) + TestRequests.get("r3", 3000));
    for (String id : new String[] {"r1", "r2", "r3"}) {
      assertEquals(id, client.receive().text());
    }
  }

  /**
   * A backend that rejects an attempt has not executed it, so the gateway may retry a request that
   * is not idempotent.
   */
  @Test
  void rejectedAttemptIsRetried() throws Exception {
    fixture.start();
    AtomicInteger attempts = new AtomicInteger();
    fixture.backend.responder =
        (request, out) ->
            TextStreams.write(
                out,
                attempts.incrementAndGet() == 1
                    ? FakeBackend.NOT_STARTED_RESPONSE
                    : FakeBackend.OK_RESPONSE);
    assertEquals(200, fixture.client().exchange(TestRequests.post("r1", "b")).status());
    assertEquals(2, attempts.get());
  }

  /**
   * If the connection breaks after the request was sent, the backend may have executed it. Without
   * the same idempotency key, the backend would execute the retry a second time.
   */
  @Test
  void retriesWithSameIdempotencyKeyAfterConnectionBreaks() throws Exception {
    fixture.start();
    AtomicInteger attempts = new AtomicInteger();
    fixture.backend.responder =
        (request, out) ->
            attempts.incrementAndGet() > 1 && TextStreams.write(out, FakeBackend.OK_RESPONSE);
    assertEquals(200, fixture.client().exchange(TestRequests.post("r1", "b")).status());
    assertEquals("key-r1", TestQueues.next(fixture.backend.received).header("Idempotency-Key"));
    assertEquals("key-r1", TestQueues.next(fixture.backend.received).header("Idempotency-Key"));
  }

  /** A backend fails in the middle of a response; the client must not receive a success. */
  @Test
  void truncatedResponseIsNotForwardedAsSuccess() throws Exception {
    fixture.start();
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part");
          return false;
        };
    assertNotEquals(200, fixture.client().exchange(TestRequests.get("r1", 3000)).status());
  }

  /**
   * A backend responds with something other than HTTP. Its connection is lost, but the request is
   * retried.
   */
  @Test
  void malformedResponseIsRetriedAndLaterRequestsAreServed() throws Exception {
    fixture.start();
    AtomicInteger attempts = new AtomicInteger();
    fixture.backend.responder =
        (request, out) ->
            TextStreams.write(
                out,
                attempts.incrementAndGet() == 1
                    ? "no http at all\r\n\r\n"
                    : FakeBackend.OK_RESPONSE);
    assertEquals(200, fixture.client().exchange(TestRequests.get("r1", 3000)).status());
    assertEquals(200, fixture.client().exchange(TestRequests.get("r2", 3000)).status());
  }

  /** No backend listens. The request was not executed, so the client may safely send it again. */
  @Test
  void rejectsRequestWhenNoBackendAcceptsConnections() throws Exception {
    fixture.backend.stopListening();
    fixture.start();
    assertEquals(503, fixture.client().exchange(TestRequests.post("r1", "b")).status());
  }

  /**
   * A vanished host does not respond to a connect. The connect timeout is far shorter than the
   * client's deadline.
   */
  @Test
  void unansweredConnectFailsAfterConnectTimeout() throws Exception {
    try (ServerSocket blockedServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<SocketChannel> fillingChannels = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(blockedServer.getLocalSocketAddress());
        fillingChannels.add(channel);
      }
      fixture.start(
          fixture.config(EndpointListJson.entry("s-1", blockedServer.getLocalPort(), "active")));
      long startNanos = System.nanoTime();
      assertEquals(503, fixture.client().exchange(TestRequests.post("r1", "b")).status());
      assertTrue(System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(2_900));
      for (SocketChannel channel : fillingChannels) {
        channel.close();
      }
    }
  }

  /**
   * A backend accepts a request and never responds. Its connection is closed, as a late response
   * could be mistaken for the response to the next request, and the client receives an error before
   * its deadline.
   */
  @Test
  void unansweredAttemptFailsBeforeDeadlineAndItsConnectionIsClosed() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    int port =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  HttpMessage.read(in);
                  if (in.read() < 0) {
                    closed.countDown();
                  }
                })
            .port();
    fixture.start(fixture.config(EndpointListJson.entry("s-1", port, "active")));
    long startNanos = System.nanoTime();
    assertNotEquals(200, fixture.client().exchange(TestRequests.get("r1", 900)).status());
    assertTrue(System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(950));
    assertTrue(closed.await(10, TimeUnit.SECONDS));
  }

  @Test
  void invalidRequestsAreRejectedWithoutContactingABackend() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    String validRequest = TestRequests.get("r1", 3000);
    for (String invalidRequest :
        new String[] {
          validRequest.replace("quote", "other"),
          validRequest.replace("basic", "gold"),
          validRequest.replace("Request-Id: r1\r\n", ""),
          validRequest.replace("units=2", "units=x"),
          validRequest.replace("units=2,", ""),
          validRequest.replace("00000000b4d65521", "-1"),
          validRequest.replace("3000", "0"),
          validRequest.replace("GET", "POST"),
          TestRequests.post("r1", "").replace("Idempotency-Key: key-r1\r\n", ""),
          validRequest.replace("/quote/17", "/\u00fcquote")
        }) {
      assertEquals(400, client.exchange(invalidRequest).status(), invalidRequest);
    }
    assertEquals(200, client.exchange(validRequest).status());
    TestQueues.next(fixture.backend.received);
    assertNull(fixture.backend.received.poll());
  }

  @Test
  void malformedAndOversizedRequestsCloseTheirConnections() throws Exception {
    fixture.start();
    TestClient malformed = fixture.client();
    assertEquals(400, malformed.exchange("GET /quote HTTP/1.1\r\nbroken header\r\n\r\n").status());
    assertTrue(malformed.isClosedByPeer());
    TestClient oversized = fixture.client();
    assertEquals(
        413,
        oversized
            .exchange(
                TestRequests.post("r1", "")
                    .replace("Content-Length: 0", "Content-Length: 40000000"))
            .status());
    oversized.socket.shutdownOutput();
    assertTrue(oversized.isClosedByPeer());
    assertEquals(200, fixture.client().exchange(TestRequests.get("r1", 3000)).status());
  }

  @Test
  void readinessPathAcceptsOnlyGet() throws Exception {
    fixture.start();
    String readinessRequest = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    assertEquals(200, fixture.client().exchange(readinessRequest).status());
    assertEquals(405, fixture.client().exchange(readinessRequest.replace("GET", "PUT")).status());
  }

  /**
   * A gateway that starts while discovery is unavailable knows no backend and could only reject
   * requests.
   */
  @Test
  void isNotReadyUntilDiscoveryReportsABackend() throws Exception {
    fixture.start(fixture.config());
    String readinessRequest = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    TestClient client = fixture.client();
    assertEquals(503, client.exchange(readinessRequest).status());
    TestQueues.next(fixture.discovery.watches);
    fixture.discovery.send(
        EndpointListJson.list(
                8, true, EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
            + "\n");
    while (client.exchange(readinessRequest).status() != 200) {
      Thread.onSpinWait();
    }
  }

  /**
   * A client disconnects while its attempt is in flight. The client receives nothing, the policy
   * still receives the attempt's outcome, and later requests are served.
   */
  @Test
  void clientDisconnectDuringAttemptDoesNotAffectLaterRequests() throws Exception {
    fixture.start();
    CountDownLatch clientDisconnected = new CountDownLatch(1);
    fixture.backend.responder =
        (request, out) -> {
          await(clientDisconnected);
          return TextStreams.write(out, FakeBackend.OK_RESPONSE);
        };
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 3000));
    TestQueues.next(fixture.backend.received);
    client.close();
    clientDisconnected.countDown();
    assertEquals(200, fixture.client().exchange(TestRequests.get("r2", 3000)).status());
  }

  /**
   * A graceful shutdown begins while a request is open. The request receives its response, which
   * announces the end of the connection; idle connections are closed, and the shutdown completes.
   */
  @Test
  void gracefulShutdownCompletesOpenRequest() throws Exception {
    GatewayServer gateway = fixture.start();
    CountDownLatch shutdownStarted = new CountDownLatch(1);
    fixture.backend.responder =
        (request, out) -> {
          await(shutdownStarted);
          return TextStreams.write(out, FakeBackend.OK_RESPONSE);
        };
    TestClient idle = fixture.client();
    TestClient busy = fixture.client();
    busy.send(TestRequests.get("r1", 3000));
    TestQueues.next(fixture.backend.received);
    Thread shutdownThread = new Thread(gateway::shutDownGracefully);
    shutdownThread.start();
    assertTrue(idle.isClosedByPeer());
    shutdownStarted.countDown();
    HttpMessage response = busy.receive();
    assertEquals(200, response.status());
    assertEquals("close", response.header("Connection"));
    assertTrue(busy.isClosedByPeer());
    shutdownThread.join(10_000);
    assertTrue(!shutdownThread.isAlive());
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /**
   * Initializing the logging framework is slow on a fraction of a core. Writing the first log line
   * after the gateway has started listening would delay all requests that have arrived by then.
   */
  @Test
  void writesFirstLogLineBeforeAcceptingClients() throws Exception {
    int port;
    try (ServerSocket reservedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = reservedPort.getLocalPort();
    }
    List<Boolean> listeningAtLogLine = new CopyOnWriteArrayList<>();
    try (LogCapture log = new LogCapture(GatewayServer.class, Level.ALL)) {
      log.onMessage(line -> listeningAtLogLine.add(connects(port)));
      fixture.start(
          fixture
              .config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
              .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\""));
    }
    assertEquals(List.of(false), listeningAtLogLine);
    assertTrue(connects(port));
  }

  private static boolean connects(int port) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }
}
