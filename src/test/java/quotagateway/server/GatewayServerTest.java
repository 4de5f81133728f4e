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
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/** The real front door between small peers on loopback. */
@Timeout(30)
class GatewayServerTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  @Test
  void passesRequestAndAnswerOnUnchanged() throws Exception {
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
  void keepsClientAndBackendConnections() throws Exception {
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
  void answersRequestsWrittenBehindEachOtherInTheirOrder() throws Exception {
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

  @Test
  void aRejectionHasNotRunAndIsTriedAgain() throws Exception {
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

  /** A repeat of what may have run carries the same id and key; nothing but the module sends it. */
  @Test
  void aBrokenConnectionAfterTheRequestIsAResetAndTheModuleRepeatsIt() throws Exception {
    fixture.start();
    AtomicInteger asked = new AtomicInteger();
    fixture.backend.responder =
        (request, out) ->
            asked.incrementAndGet() > 1 && TextStreams.write(out, FakeBackend.OK_RESPONSE);
    assertEquals(200, fixture.client().ask(TestRequests.post("r1", "b")).status());
    assertEquals("key-r1", TestQueues.next(fixture.backend.received).header("Idempotency-Key"));
    assertEquals("key-r1", TestQueues.next(fixture.backend.received).header("Idempotency-Key"));
  }

  @Test
  void aCutAnswerIsNotServed() throws Exception {
    fixture.start();
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part");
          return false;
        };
    assertNotEquals(200, fixture.client().ask(TestRequests.get("r1", 3000)).status());
  }

  @Test
  void junkFromABackendEndsItsConnectionAndServingGoesOn() throws Exception {
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

  @Test
  void aRefusedConnectionMeansARefusalThatIsHarmlessToRepeat() throws Exception {
    fixture.backend.stopListening();
    fixture.start();
    assertEquals(503, fixture.client().ask(TestRequests.post("r1", "b")).status());
  }

  /** Vanished hosts are silent: a connect has its own limit, far below the client's time. */
  @Test
  void aConnectThatNeverComesUpEndsByItsOwnLimit() throws Exception {
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

  @Test
  void aSilentBackendCostsTheAttemptItsConnectionAndTheClientHearsInTime() throws Exception {
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
  void refusesBrokenRequestsWithoutAskingABackend() throws Exception {
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
  void endsTheConnectionOverMalformedAndOversizedMessages() throws Exception {
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
  void tellsWhetherItCanServe() throws Exception {
    fixture.start();
    String up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    assertEquals(200, fixture.client().ask(up).status());
    assertEquals(405, fixture.client().ask(up.replace("GET", "PUT")).status());
  }

  @Test
  void withoutBackendsItIsNotUpUntilDiscoveryNamesOne() throws Exception {
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
   * A client that has gone gets nothing; its attempt still ends at the module, and serving goes on.
   */
  @Test
  void aClientThatLeavesIsForgotten() throws Exception {
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

  /** A planned end: what was taken is answered, and the answer ends the connection. */
  @Test
  void drainsWithoutLosingARequest() throws Exception {
    GatewayServer door = fixture.start();
    CountDownLatch told = new CountDownLatch(1);
    fixture.backend.responder =
        (request, out) -> {
          await(told);
          return TextStreams.write(out, FakeBackend.OK_RESPONSE);
        };
    TestClient idle = fixture.client();
    TestClient busy = fixture.client();
    busy.send(TestRequests.get("r1", 3000));
    TestQueues.next(fixture.backend.received);
    Thread end = new Thread(door::shutDownGracefully);
    end.start();
    assertTrue(idle.ended());
    told.countDown();
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
   * Setting logging up takes long on a share of a core, and holds up every request that is there by
   * then.
   */
  @Test
  void itsFirstLogLineIsWrittenBeforeItTakesClients() throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    List<Boolean> listeningAtLine = new CopyOnWriteArrayList<>();
    Logger log = Logger.getLogger(GatewayServer.class.getName());
    Handler handler =
        new Handler() {
          @Override
          public void publish(LogRecord line) {
            listeningAtLine.add(connects(port));
          }

          @Override
          public void flush() {}

          @Override
          public void close() {}
        };
    log.addHandler(handler);
    try {
      fixture.start(
          fixture
              .config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
              .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\""));
    } finally {
      log.removeHandler(handler);
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
