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

/** Bodies and responses that are too large to be kept, slow ones, and the forms of HTTP/1.1. */
@Timeout(60)
class StreamingTest {

  /** For how long a response may stop, before any of it went to the client, and be waited for. */
  private static final long MAX_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

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
  void largeResponsesAreStreamedUnchanged() throws Exception {
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
  void largeBodiesAreStreamedUnchanged() throws Exception {
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

  /**
   * The end of a body just too large to be kept comes with the bytes at which reading pauses.
   * Nobody would ask for more of that body, and the connection would never be read again.
   */
  @Test
  void connectionIsReadOnAfterABodyJustOverTheBuffer() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    assertEquals(
        200,
        client
            .ask(TestRequests.post("r1", "x".repeat(RequestBody.MAX_BUFFERED_BYTES + 1)))
            .status());
    assertEquals(200, client.ask(TestRequests.get("r2", 3000)).status());
  }

  /**
   * A client does not read its large response. Without back pressure all of it would be kept here
   * for as long as the client likes; so the backend is stopped until the client reads on.
   */
  @Test
  void responseIsReadNoFasterThanItsClientReads() throws Exception {
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

  /**
   * A backend breaks off a response that its client has a part of. The client has to see that it is
   * not whole, and no second response may follow the first part.
   */
  @Test
  void brokenStreamedResponseIsVisiblyIncompleteAndNotRetried() throws Exception {
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

  /**
   * Where a backend announces it, the end of the connection is the end of the response. A reset is
   * the end of none: the part before it must not be served.
   */
  @Test
  void responseMayEndWithItsConnectionButNotWithAReset() throws Exception {
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

  /**
   * A response comes in slow pieces, for longer than the stall limit of one. It is slow rather than
   * broken: it is served, and no second attempt is made. On a busy machine the backend's thread can
   * itself stand still for longer than that limit, and then the gateway may give the response up;
   * StalledResponseTest holds the limit in time that it advances.
   */
  @Test
  void slowResponsesAreServedByTheirFirstAttempt() throws Exception {
    fixture.start();
    AtomicInteger asked = new AtomicInteger();
    AtomicLong longestPauseNanos = new AtomicLong();
    for (String framing : new String[] {"Content-Length: 8", "Transfer-Encoding: chunked"}) {
      fixture.backend.responder =
          (request, out) -> {
            asked.incrementAndGet();
            TextStreams.write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            boolean chunked = framing.startsWith("T");
            for (int i = 0; i < 8; i++) {
              long from = System.nanoTime();
              pause(100);
              TextStreams.write(out, chunked ? "1\r\nx\r\n" : "x");
              longestPauseNanos.accumulateAndGet(System.nanoTime() - from, Math::max);
            }
            return TextStreams.write(out, chunked ? "0\r\n\r\n" : "");
          };
      String body = fixture.client().ask(TestRequests.get("r1", 3000)).text();
      if (longestPauseNanos.get() < MAX_STALL_NANOS) {
        assertEquals("xxxxxxxx", body);
      }
    }
    if (longestPauseNanos.get() < MAX_STALL_NANOS) {
      assertEquals(2, asked.get());
    }
  }

  /**
   * A backend breaks off while a large body is streamed to it. What was streamed is gone: the
   * client can send it again, the gateway cannot. The request has never been executed, so it is
   * rejected with a 503.
   */
  @Test
  void streamedBodyIsNotRetried() throws Exception {
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

  /**
   * The first backend of a large body refuses the connection. Nothing of the body has been streamed
   * yet, so it goes to another backend.
   */
  @Test
  void largeBodyIsRetriedWhereNoConnectionCameUp() throws Exception {
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

  /**
   * A client stops in the middle of a large body and stays. It gets a 408, and no backend executes
   * the request.
   */
  @Test
  void bodyThatStopsIsAnsweredWith408AndNotExecuted() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "").replace("Length: 0", "Length: 1000000") + "x".repeat(100_000));
    assertEquals(408, client.receive().status());
    assertTrue(fixture.backend.received.isEmpty());
    assertEquals(200, fixture.client().ask(TestRequests.get("r2", 3000)).status());
  }

  /**
   * A client may send as slowly as 64 kB a second, for as long as the body takes; the time for the
   * response counts from the end of the body.
   */
  @Test
  void slowBodyWithinTheMinimumRateIsServed() throws Exception {
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
  void expectContinueIsAnsweredWith100() throws Exception {
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
  void http10ClientsAndAbsoluteTargetsAreServed() throws Exception {
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
  void allUnambiguousFormsOfARequestAreRead() throws Exception {
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
   * To a client of HTTP/1.0 the end of the connection is the end of a response without a length, so
   * a response that breaks off must not end like a whole one.
   */
  @Test
  void http10ClientSeesWhereAStreamedResponseEnds() throws Exception {
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
   * A client resets its connection in the middle of a streamed response; before the event loop
   * hears of that, the rest of the response proves malformed. The client's socket is closed
   * already, and the attempt has to end all the same: else its request is kept for good.
   */
  @Test
  void attemptEndsWhenItsResponseBreaksJustAfterTheClientLeft() throws Exception {
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
    GatewayServer gateway = fixture.start();
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 3000));
    client.socket.getInputStream().readNBytes(0x20000);
    CountDownLatch standing = new CountDownLatch(1);
    gateway.loop.execute(
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
    while (held(gateway) > 0 && System.nanoTime() < until) {
      Thread.onSpinWait();
    }
    assertEquals(0, held(gateway));
  }

  private static int held(GatewayServer gateway) throws Exception {
    return gateway
        .loop
        .submit(() -> gateway.clients().driver().activeRequestCount())
        .sync()
        .getNow();
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
