package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.backend.RequestBody;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.ScriptedServer;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/** Bodies and answers that are too large to be held, slow ones, and the forms of HTTP/1.1. */
@Timeout(60)
class StreamingTest {

  private static final int LARGE = 20 << 20;

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static byte[] bytes(int size) {
    byte[] bytes = new byte[size];
    new Random(size).nextBytes(bytes);
    return bytes;
  }

  private static void writeChunked(OutputStream out, byte[] body, String trailer)
      throws IOException {
    for (int at = 0; at < body.length; at += 30_000) {
      byte[] chunk = Arrays.copyOfRange(body, at, Math.min(body.length, at + 30_000));
      TextStreams.write(out, Integer.toHexString(chunk.length) + ";ext=1\r\n");
      out.write(chunk);
      TextStreams.write(out, "\r\n");
    }
    TextStreams.write(out, "0\r\n" + trailer + "\r\n");
  }

  @Test
  void largeAnswersPassUnchanged() throws Exception {
    fixture.start();
    byte[] body = bytes(LARGE);
    TestClient client = fixture.client();
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
          out.write(body);
          return true;
        };
    assertArrayEquals(body, client.ask(TestRequests.get("r1", 3000)).body());
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          writeChunked(out, body, "X-Sum: 1\r\n");
          return true;
        };
    assertArrayEquals(body, client.ask(TestRequests.get("r2", 3000)).body());
    assertEquals(2, fixture.backend.received.size());
  }

  @Test
  void largeBodiesPassUnchanged() throws Exception {
    fixture.start();
    byte[] body = bytes(LARGE);
    TestClient client = fixture.client();
    client.send(TestRequests.post("r1", "").replace("Length: 0", "Length: " + body.length));
    client.socket.getOutputStream().write(body);
    assertEquals(200, client.receive().status());
    assertArrayEquals(body, TestQueues.next(fixture.backend.received).body());
    client.send(
        TestRequests.post("r2", "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
    writeChunked(client.socket.getOutputStream(), body, "X-Sum: 1\r\n");
    assertEquals(200, client.receive().status());
    assertArrayEquals(body, TestQueues.next(fixture.backend.received).body());
  }

  /** The end of such a body comes with the bytes at which reading pauses. */
  @Test
  void aConnectionIsReadOnAfterABodyJustTooLargeToBeHeld() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    assertEquals(
        200,
        client
            .ask(TestRequests.post("r1", "x".repeat(RequestBody.MAX_BUFFERED_BYTES + 1)))
            .status());
    assertEquals(200, client.ask(TestRequests.get("r2", 3000)).status());
  }

  /** Otherwise the whole answer would lie here for as long as its client likes. */
  @Test
  void aClientThatDoesNotReadStopsItsBackend() throws Exception {
    fixture.start();
    AtomicLong written = new AtomicLong();
    int size = 64 << 20;
    byte[] piece = bytes(1 << 16);
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n");
          for (int i = 0; i < size / piece.length; i++) {
            out.write(piece);
            written.addAndGet(piece.length);
          }
          return true;
        };
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 3000));
    for (long before = -1;
        written.get() == 0 || written.get() > before;
        TimeUnit.MILLISECONDS.sleep(500)) {
      before = written.get();
    }
    assertTrue(written.get() < size / 2, "the kernel's buffers hold " + written);
    assertEquals(size, client.receive().body().length);
    assertEquals(
        200, fixture.client().ask(TestRequests.get("r2", 3000).replace("r2", "next")).status());
  }

  /** Its bytes tell that it is not whole, and no second answer follows a first part. */
  @Test
  void anAnswerThatBreaksIsSeenToBeBroken() throws Exception {
    fixture.start();
    for (String framing : new String[] {"Content-Length: 1000000", "Transfer-Encoding: chunked"}) {
      fixture.backend.responder =
          (request, out) -> {
            TextStreams.write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            TextStreams.write(out, "30000\r\n" + "x".repeat(0x30000) + "\r\n");
            return false;
          };
      assertThrows(IOException.class, () -> fixture.client().ask(TestRequests.get("r1", 3000)));
      TestQueues.next(fixture.backend.received);
      assertNull(fixture.backend.received.poll(300, TimeUnit.MILLISECONDS), "no further attempt");
    }
  }

  /** Announced, the end of a connection is the end of the answer; a reset is the end of none. */
  @Test
  void anAnswerMayEndWithItsConnection() throws Exception {
    fixture.start();
    int n = 0;
    for (int size : new int[] {0, 9, 300_000}) {
      fixture.backend.responder =
          (request, out) -> {
            TextStreams.write(
                out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "x".repeat(size));
            return false;
          };
      assertEquals(size, fixture.client().ask(TestRequests.get("r" + n++, 3000)).body().length);
    }
    assertEquals(3, fixture.backend.received.size());
    int port =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  HttpMessage.read(in);
                  TextStreams.write(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
                  pause(50);
                  socket.setSoLinger(true, 0);
                  socket.close();
                })
            .port();
    fixture.start(fixture.config(EndpointListJson.entry("s-2", port, "active")));
    assertTrue(fixture.client().ask(TestRequests.get("r9", 3000)).status() != 200);
  }

  /** Slow is not broken: time-outs go by progress, and the deadline ends with the first bytes. */
  @Test
  void answersInSlowPiecesAreServed() throws Exception {
    fixture.start();
    AtomicInteger asked = new AtomicInteger();
    for (String framing : new String[] {"Content-Length: 8", "Transfer-Encoding: chunked"}) {
      fixture.backend.responder =
          (request, out) -> {
            asked.incrementAndGet();
            TextStreams.write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            boolean chunked = framing.startsWith("T");
            for (int i = 0; i < 8; i++) {
              pause(100);
              TextStreams.write(out, chunked ? "1\r\nx\r\n" : "x");
            }
            return TextStreams.write(out, chunked ? "0\r\n\r\n" : "");
          };
      assertEquals("xxxxxxxx", fixture.client().ask(TestRequests.get("r1", 3000)).text());
    }
    assertEquals(2, asked.get());
  }

  /** What has been handed on is gone: the client can send it again, the front door cannot. */
  @Test
  void aBodyThatWasHandedOnIsNotSentAgain() throws Exception {
    AtomicInteger asked = new AtomicInteger();
    int port =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  asked.incrementAndGet();
                  in.readNBytes(200_000);
                  socket.close();
                })
            .port();
    fixture.start(fixture.config(EndpointListJson.entry("s-1", port, "active")));
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "").replace("Length: 0", "Length: 1000000") + "x".repeat(300_000));
    HttpMessage answer = client.receive();
    assertEquals(503, answer.status(), "it has never run");
    assertEquals("close", answer.header("Connection"));
    assertEquals(1, asked.get());
  }

  /** What never reached a backend is all there, and goes to another one with the rest. */
  @Test
  void aLargeBodyOutlivesABackendThatIsNotReached() throws Exception {
    ScriptedServer gone = fixture.listen(50, (in, out, socket) -> {});
    fixture.start(
        fixture.config(
            EndpointListJson.entry("s-1", fixture.backend.port(), "active"),
            EndpointListJson.entry("s-2", gone.port(), "active"),
            EndpointListJson.entry("s-3", gone.port(), "active")));
    gone.stopListening();
    byte[] body = bytes(1 << 20);
    for (int i = 0; i < 10; i++) {
      TestClient client = fixture.client();
      client.send(TestRequests.post("r" + i, "").replace("Length: 0", "Length: " + body.length));
      client.socket.getOutputStream().write(body);
      assertEquals(200, client.receive().status());
      assertArrayEquals(body, TestQueues.next(fixture.backend.received).body());
    }
  }

  @Test
  void aBodyThatStopsIsEndedAndRunsNowhere() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "").replace("Length: 0", "Length: 1000000") + "x".repeat(100_000));
    assertEquals(408, client.receive().status());
    assertTrue(fixture.backend.received.isEmpty());
    assertEquals(200, fixture.client().ask(TestRequests.get("r2", 3000)).status());
  }

  /**
   * 64 kB a second are allowed, for as long as that takes; the time for the answer counts from its
   * end.
   */
  @Test
  void aSlowBodyIsTaken() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "")
            .replace("Length: 0", "Length: 400000")
            .replace(": 3000", ": 1000"));
    for (int i = 0; i < 40; i++) {
      client.send("x".repeat(10_000));
      TimeUnit.MILLISECONDS.sleep(100);
    }
    assertEquals(200, client.receive().status());
    assertEquals(400_000, TestQueues.next(fixture.backend.received).body().length);
  }

  @Test
  void aClientThatAsksWhetherToSendItsBodyIsTold() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    for (int size : new int[] {5, 100_000}) {
      client.send(
          TestRequests.post("r" + size, "")
              .replace("Content-Length: 0", "Expect: 100-continue\r\nContent-Length: " + size));
      assertEquals(100, client.receive().status());
      assertEquals(200, client.ask("x".repeat(size)).status());
      assertEquals(size, TestQueues.next(fixture.backend.received).body().length);
    }
  }

  @Test
  void olderClientsAndWholeTargetsAreServed() throws Exception {
    fixture.start();
    HttpMessage old =
        fixture.client().ask(TestRequests.get("r1", 3000).replace("HTTP/1.1", "HTTP/1.0"));
    assertEquals("fine", old.text());
    assertEquals("close", old.header("Connection"));
    TestClient kept = fixture.client();
    HttpMessage keeps =
        kept.ask(
            TestRequests.get("r2", 3000)
                .replace("HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"));
    assertEquals("keep-alive", keeps.header("Connection"));
    assertEquals(
        200,
        kept.ask(TestRequests.get("r3", 3000).replace("GET /", "GET http://backend.local/"))
            .status());
    TestQueues.next(fixture.backend.received);
    TestQueues.next(fixture.backend.received);
    assertEquals(
        "GET /quote/17?a=%20b&c HTTP/1.1", TestQueues.next(fixture.backend.received).firstLine());
  }

  /** Forms that one reader can take in one way only, whole and byte by byte, one behind another. */
  @Test
  void theFormsOfARequestAreRead() throws Exception {
    fixture.start();
    String get = TestRequests.get("r1", 3000);
    String post =
        TestRequests.post("r1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    int n = 0;
    for (String form :
        new String[] {
          get,
          "\r\n" + get,
          get.toLowerCase(Locale.ROOT).replace("get /", "GET /").replace("http/1.1", "HTTP/1.1"),
          get.replace(": ", ":\t "),
          get.replace("Host: backend.local\r\n", "").replace("HTTP/1.1", "HTTP/1.0"),
          get.replace("X-Plan", "Connection: Keep-Alive, TE\r\nTE: trailers\r\nX-Plan"),
          get.replace("X-Plan", "Content-Length: 0\r\nX-Plan"),
          get.replace("GET /", "GET http://backend.local:80/"),
          post + "0\r\n\r\n",
          post + "3;a=\"b;c\"\r\nabc\r\n0\r\n\r\n",
          post + "0003\r\nabc\r\n0000\r\n\r\n",
          post + "A\r\n0123456789\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n",
          post.replace("chunked", "Chunked") + "1\r\na\r\n0\r\n\r\n"
        }) {
      TestClient client = fixture.client();
      client.send(form.replaceAll("(?i)(request-id:\\s*)r1", "$1a" + n));
      assertEquals(200, client.receive().status(), form);
      assertEquals("a" + n++, TestQueues.next(fixture.backend.received).header("Request-Id"));
      TestClient slow = fixture.client();
      for (char c : form.replaceAll("(?i)(request-id:\\s*)r1", "$1a" + n).toCharArray()) {
        slow.send(String.valueOf(c));
      }
      assertEquals(200, slow.receive().status(), form);
      assertEquals("a" + n++, TestQueues.next(fixture.backend.received).header("Request-Id"));
    }
  }

  /**
   * The end of the connection is the end of the answer there, so a break must not look like one.
   */
  @Test
  void anOlderClientSeesWhereALargeAnswerEnds() throws Exception {
    fixture.start();
    CountDownLatch read = new CountDownLatch(1);
    String ask = TestRequests.get("r1", 3000).replace("HTTP/1.1", "HTTP/1.0");
    byte[] body = bytes(200_000);
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          writeChunked(out, body, "");
          return true;
        };
    TestClient whole = fixture.client();
    assertNull(whole.ask(ask).header("Transfer-Encoding"));
    assertEquals(body.length, whole.rest());
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          TextStreams.write(out, "30000\r\n" + "x".repeat(0x30000) + "\r\n");
          pause(read);
          return false;
        };
    TestClient broken = fixture.client();
    broken.ask(ask);
    read.countDown();
    assertThrows(IOException.class, () -> broken.rest());
  }

  /**
   * The client's socket is closed already when the answer proves broken: the attempt ends all the
   * same.
   */
  @Test
  void anAnswerThatBreaksJustAfterItsClientHasLeftIsForgotten() throws Exception {
    CountDownLatch left = new CountDownLatch(1);
    CountDownLatch broken = new CountDownLatch(1);
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          TextStreams.write(out, "20000\r\n" + "x".repeat(0x20000) + "\r\n");
          pause(left);
          TextStreams.write(out, "no chunk\r\n");
          broken.countDown();
          return true;
        };
    GatewayServer door = fixture.start();
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 3000));
    client.socket.getInputStream().readNBytes(0x20000);
    CountDownLatch standing = new CountDownLatch(1);
    door.loop.execute(
        () -> {
          standing.countDown();
          try {
            broken.await(10, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    standing.await();
    client.socket.setSoLinger(true, 0);
    client.close();
    left.countDown();
    assertTrue(broken.await(10, TimeUnit.SECONDS));
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (held(door) > 0 && System.nanoTime() < until) {
      Thread.onSpinWait();
    }
    assertEquals(0, held(door));
  }

  private static int held(GatewayServer door) throws Exception {
    return door.loop.submit(() -> door.clients().driver().activeRequestCount()).sync().getNow();
  }

  private static void pause(CountDownLatch until) throws IOException {
    try {
      until.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static void pause(long ms) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
