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

/** The gateway between small peers on loopback: what clients get, and what backends are sent. */
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
    HttpMessage answer = fixture.client().ask(TestRequests.post("r1", body));
    HttpMessage sent = TestQueues.next(fixture.backend.received);
    assertEquals("POST /buy/9 HTTP/1.1", sent.firstLine());
    assertEquals("r1", sent.header("Request-Id"));
    assertEquals("key-r1", sent.header("Idempotency-Key"));
    assertTrue(Integer.parseInt(sent.header("Request-Timeout-Ms")) <= 3000);
    assertArrayEquals(body.getBytes(StandardCharsets.ISO_8859_1), sent.body());
    assertEquals(200, answer.status());
    assertArrayEquals(sent.body(), answer.body());
  }

  @Test
  void connectionsOfClientsAndToBackendsAreReused() throws Exception {
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
      assertEquals("fine", client.ask(TestRequests.get("r" + i, 3000)).text());
      assertEquals(
          "GET /quote/17?a=%20b&c HTTP/1.1", TestQueues.next(fixture.backend.received).firstLine());
      // A connection is used again only once it is seen that nothing follows the answer.
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

  /** A backend that rejects has executed nothing: the gateway may retry what is not idempotent. */
  @Test
  void rejectedAttemptIsRetried() throws Exception {
    fixture.start();
    AtomicInteger asked = new AtomicInteger();
    fixture.backend.responder =
        (request, out) ->
            TextStreams.write(
                out,
                asked.incrementAndGet() == 1
                    ? FakeBackend.NOT_STARTED_RESPONSE
                    : FakeBackend.OK_RESPONSE);
    assertEquals(200, fixture.client().ask(TestRequests.post("r1", "b")).status());
    assertEquals(2, asked.get());
  }

  /**
   * A connection that breaks behind the request leaves open whether it was executed. The retry must
   * carry the same idempotency key, or the backend would execute it twice.
   */
  @Test
  void attemptWhoseConnectionBreaksIsRetriedWithTheSameIdempotencyKey() throws Exception {
    fixture.start();
    AtomicInteger asked = new AtomicInteger();
    fixture.backend.responder =
        (request, out) ->
            asked.incrementAndGet() > 1 && TextStreams.write(out, FakeBackend.OK_RESPONSE);
    assertEquals(200, fixture.client().ask(TestRequests.post("r1", "b")).status());
    assertEquals("key-r1", TestQueues.next(fixture.backend.received).header("Idempotency-Key"));
    assertEquals("key-r1", TestQueues.next(fixture.backend.received).header("Idempotency-Key"));
  }

  /** A backend that dies in the middle of a response must not look like a success. */
  @Test
  void truncatedResponseIsNotPassedOnAsSuccess() throws Exception {
    fixture.start();
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part");
          return false;
        };
    assertNotEquals(200, fixture.client().ask(TestRequests.get("r1", 3000)).status());
  }

  /** A backend that speaks no HTTP costs its connection, not the requests. */
  @Test
  void malformedResponseIsRetriedAndLaterRequestsAreServed() throws Exception {
    fixture.start();
    AtomicInteger asked = new AtomicInteger();
    fixture.backend.responder =
        (request, out) ->
            TextStreams.write(
                out,
                asked.incrementAndGet() == 1 ? "no http at all\r\n\r\n" : FakeBackend.OK_RESPONSE);
    assertEquals(200, fixture.client().ask(TestRequests.get("r1", 3000)).status());
    assertEquals(200, fixture.client().ask(TestRequests.get("r2", 3000)).status());
  }

  /** No backend listens: nothing was executed, and the client may repeat its request harmlessly. */
  @Test
  void requestIsRejectedWhereNoConnectionComesUp() throws Exception {
    fixture.backend.stopListening();
    fixture.start();
    assertEquals(503, fixture.client().ask(TestRequests.post("r1", "b")).status());
  }

  /**
   * A host that has vanished answers no connect. The connect has a timeout of its own, far below
   * the client's deadline.
   */
  @Test
  void connectWithoutReplyEndsByTheConnectTimeout() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<SocketChannel> fill = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        SocketChannel c = SocketChannel.open();
        c.configureBlocking(false);
        c.connect(full.getLocalSocketAddress());
        fill.add(c);
      }
      fixture.start(fixture.config(EndpointListJson.entry("s-1", full.getLocalPort(), "active")));
      long from = System.nanoTime();
      assertEquals(503, fixture.client().ask(TestRequests.post("r1", "b")).status());
      assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(2_900));
      for (SocketChannel c : fill) {
        c.close();
      }
    }
  }

  /**
   * A backend takes a request and never responds. Its connection is closed, as a late response on
   * it would be taken for the next one's, and the client gets an error before its deadline.
   */
  @Test
  void attemptWithoutResponseEndsInTimeAndItsConnectionIsClosed() throws Exception {
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
    long from = System.nanoTime();
    assertNotEquals(200, fixture.client().ask(TestRequests.get("r1", 900)).status());
    assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(950));
    assertTrue(closed.await(10, TimeUnit.SECONDS));
  }

  @Test
  void invalidRequestsAreRejectedWithoutAnAttempt() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    String good = TestRequests.get("r1", 3000);
    for (String bad :
        new String[] {
          good.replace("quote", "other"),
          good.replace("basic", "gold"),
          good.replace("Request-Id: r1\r\n", ""),
          good.replace("units=2", "units=x"),
          good.replace("units=2,", ""),
          good.replace("00000000b4d65521", "-1"),
          good.replace("3000", "0"),
          good.replace("GET", "POST"),
          TestRequests.post("r1", "").replace("Idempotency-Key: key-r1\r\n", ""),
          good.replace("/quote/17", "/\u00fcquote")
        }) {
      assertEquals(400, client.ask(bad).status(), bad);
    }
    assertEquals(200, client.ask(good).status());
    TestQueues.next(fixture.backend.received);
    assertNull(fixture.backend.received.poll());
  }

  @Test
  void malformedAndOversizedRequestsEndTheirConnections() throws Exception {
    fixture.start();
    TestClient malformed = fixture.client();
    assertEquals(400, malformed.ask("GET /quote HTTP/1.1\r\nbroken header\r\n\r\n").status());
    assertTrue(malformed.ended());
    TestClient large = fixture.client();
    assertEquals(
        413,
        large
            .ask(
                TestRequests.post("r1", "")
                    .replace("Content-Length: 0", "Content-Length: 40000000"))
            .status());
    large.socket.shutdownOutput();
    assertTrue(large.ended());
    assertEquals(200, fixture.client().ask(TestRequests.get("r1", 3000)).status());
  }

  @Test
  void readinessIsReportedToGetOnly() throws Exception {
    fixture.start();
    String up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    assertEquals(200, fixture.client().ask(up).status());
    assertEquals(405, fixture.client().ask(up.replace("GET", "PUT")).status());
  }

  /** A gateway that starts while discovery is away knows no backend, and could only reject. */
  @Test
  void withoutBackendsItIsNotReadyUntilDiscoveryReportsOne() throws Exception {
    fixture.start(fixture.config());
    String up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    TestClient client = fixture.client();
    assertEquals(503, client.ask(up).status());
    TestQueues.next(fixture.discovery.watches);
    fixture.discovery.send(
        EndpointListJson.list(
                8, true, EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
            + "\n");
    while (client.ask(up).status() != 200) {
      Thread.onSpinWait();
    }
  }

  /**
   * A client disconnects while its attempt is in flight. It gets nothing; the policy still gets the
   * attempt's outcome, and later requests are served.
   */
  @Test
  void disconnectOfAClientInTheMiddleHarmsNobodyElse() throws Exception {
    fixture.start();
    CountDownLatch left = new CountDownLatch(1);
    fixture.backend.responder =
        (request, out) -> {
          await(left);
          return TextStreams.write(out, FakeBackend.OK_RESPONSE);
        };
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 3000));
    TestQueues.next(fixture.backend.received);
    client.close();
    left.countDown();
    assertEquals(200, fixture.client().ask(TestRequests.get("r2", 3000)).status());
  }

  /**
   * A restart is planned while a request is open. It gets its response, which announces the end of
   * its connection; idle connections are closed, and the shutdown returns.
   */
  @Test
  void gracefulShutdownLosesNoRequest() throws Exception {
    GatewayServer gateway = fixture.start();
    CountDownLatch shuttingDown = new CountDownLatch(1);
    fixture.backend.responder =
        (request, out) -> {
          await(shuttingDown);
          return TextStreams.write(out, FakeBackend.OK_RESPONSE);
        };
    TestClient idle = fixture.client();
    TestClient busy = fixture.client();
    busy.send(TestRequests.get("r1", 3000));
    TestQueues.next(fixture.backend.received);
    Thread end = new Thread(gateway::shutDownGracefully);
    end.start();
    assertTrue(idle.ended());
    shuttingDown.countDown();
    HttpMessage answer = busy.receive();
    assertEquals(200, answer.status());
    assertEquals("close", answer.header("Connection"));
    assertTrue(busy.ended());
    end.join(10_000);
    assertTrue(!end.isAlive());
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /**
   * Setting logging up takes long on a share of a core. A first log line behind the start of
   * listening would hold up every request that is there by then.
   */
  @Test
  void firstLogLineIsWrittenBeforeClientsAreAccepted() throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    List<Boolean> listeningAtLine = new CopyOnWriteArrayList<>();
    try (LogCapture log = new LogCapture(GatewayServer.class, Level.ALL)) {
      log.onMessage(line -> listeningAtLine.add(connects(port)));
      fixture.start(
          fixture
              .config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
              .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\""));
    }
    assertEquals(List.of(false), listeningAtLine);
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
