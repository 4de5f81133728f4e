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

/**
 * Tests request bodies and responses that are too large to buffer, slow ones, and the syntax
 * variants of HTTP/1.1.
 */
@Timeout(60)
class StreamingTest {

  /** How long the gateway waits for a stalled response of which nothing has reached the client. */
  private static final long MAX_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final int LARGE_BODY_BYTES = 20 << 20;

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static byte[] randomBytes(int size) {
    byte[] randomBytes = new byte[size];
    new Random(size).nextBytes(randomBytes);
    return randomBytes;
  }

  private static void writeChunked(OutputStream out, byte[] body, String trailer)
      throws IOException {
    for (int offset = 0; offset < body.length; offset += 30_000) {
      byte[] chunk = Arrays.copyOfRange(body, offset, Math.min(body.length, offset + 30_000));
      TextStreams.write(out, Integer.toHexString(chunk.length) + ";ext=1\r\n");
      out.write(chunk);
      TextStreams.write(out, "\r\n");
    }
    TextStreams.write(out, "0\r\n" + trailer + "\r\n");
  }

  @Test
  void largeResponsesAreStreamedUnchanged() throws Exception {
    fixture.start();
    byte[] body = randomBytes(LARGE_BODY_BYTES);
    TestClient client = fixture.client();
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
          out.write(body);
          return true;
        };
    assertArrayEquals(body, client.exchange(TestRequests.get("r1", 3000)).body());
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          writeChunked(out, body, "X-Sum: 1\r\n");
          return true;
        };
    assertArrayEquals(body, client.exchange(TestRequests.get("r2", 3000)).body());
    assertEquals(2, fixture.backend.received.size());
  }

  @Test
  void largeBodiesAreStreamedUnchanged() throws Exception {
    fixture.start();
    byte[] body = randomBytes(LARGE_BODY_BYTES);
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
   * The end of a body just over the buffer size arrives in the read after which reading pauses.
   * Nothing then requests more of that body, and without a special case the connection would never
   * be read again.
   */
  @Test
  void connectionIsStillReadAfterBodyJustOverBufferSize() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    assertEquals(
        200,
        client
            .exchange(TestRequests.post("r1", "x".repeat(RequestBody.MAX_BUFFERED_BYTES + 1)))
            .status());
    assertEquals(200, client.exchange(TestRequests.get("r2", 3000)).status());
  }

  /**
   * A client does not read its large response. Without back pressure the gateway would buffer all
   * of it for as long as the client stalls; instead, the gateway stops reading from the backend
   * until the client reads on.
   */
  @Test
  void responseIsReadNoFasterThanTheClientReadsIt() throws Exception {
    fixture.start();
    AtomicLong written = new AtomicLong();
    int size = 64 << 20;
    byte[] block = randomBytes(1 << 16);
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n");
          for (int i = 0; i < size / block.length; i++) {
            out.write(block);
            written.addAndGet(block.length);
          }
          return true;
        };
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 3000));
    for (long previous = -1;
        written.get() == 0 || written.get() > previous;
        TimeUnit.MILLISECONDS.sleep(500)) {
      previous = written.get();
    }
    assertTrue(written.get() < size / 2, "bytes written without a reading client: " + written);
    assertEquals(size, client.receive().body().length);
    assertEquals(
        200,
        fixture.client().exchange(TestRequests.get("r2", 3000).replace("r2", "next")).status());
  }

  /**
   * A backend aborts a response of which the client has received a part. The client must be able to
   * detect that the response is incomplete, and no second response may follow the first part.
   */
  @Test
  void abortedStreamedResponseIsDetectablyIncompleteAndNotRetried() throws Exception {
    fixture.start();
    for (String framing : new String[] {"Content-Length: 1000000", "Transfer-Encoding: chunked"}) {
      fixture.backend.responder =
          (request, out) -> {
            TextStreams.write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            TextStreams.write(out, "30000\r\n" + "x".repeat(0x30000) + "\r\n");
            return false;
          };
      assertThrows(
          IOException.class, () -> fixture.client().exchange(TestRequests.get("r1", 3000)));
      TestQueues.next(fixture.backend.received);
      assertNull(
          fixture.backend.received.poll(300, TimeUnit.MILLISECONDS), "no further attempt expected");
    }
  }

  /**
   * The end of the connection is the end of a response if the backend announces it. A reset never
   * ends a response: the part received before it must not be served.
   */
  @Test
  void responseMayEndWithConnectionCloseButNotWithReset() throws Exception {
    fixture.start();
    int n = 0;
    for (int size : new int[] {0, 9, 300_000}) {
      fixture.backend.responder =
          (request, out) -> {
            TextStreams.write(
                out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "x".repeat(size));
            return false;
          };
      assertEquals(
          size, fixture.client().exchange(TestRequests.get("r" + n++, 3000)).body().length);
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
    assertTrue(fixture.client().exchange(TestRequests.get("r9", 3000)).status() != 200);
  }

  /**
   * A response arrives in small pieces and takes longer in total than the stall limit for a single
   * pause. Such a response is slow rather than broken: it is served, and no second attempt is made.
   * On a busy machine the fake backend's thread can itself stall for longer than the limit, and the
   * gateway may then abandon the response. StalledResponseTest checks the limit with a clock that
   * the test advances.
   */
  @Test
  void slowResponsesAreServedByTheirFirstAttempt() throws Exception {
    fixture.start();
    AtomicInteger attempts = new AtomicInteger();
    AtomicLong longestPauseNanos = new AtomicLong();
    for (String framing : new String[] {"Content-Length: 8", "Transfer-Encoding: chunked"}) {
      fixture.backend.responder =
          (request, out) -> {
            attempts.incrementAndGet();
            TextStreams.write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            boolean chunked = framing.startsWith("T");
            for (int i = 0; i < 8; i++) {
              long startNanos = System.nanoTime();
              pause(100);
              TextStreams.write(out, chunked ? "1\r\nx\r\n" : "x");
              longestPauseNanos.accumulateAndGet(System.nanoTime() - startNanos, Math::max);
            }
            return TextStreams.write(out, chunked ? "0\r\n\r\n" : "");
          };
      String body = fixture.client().exchange(TestRequests.get("r1", 3000)).text();
      if (longestPauseNanos.get() < MAX_STALL_NANOS) {
        assertEquals("xxxxxxxx", body);
      }
    }
    if (longestPauseNanos.get() < MAX_STALL_NANOS) {
      assertEquals(2, attempts.get());
    }
  }

  /**
   * A backend closes the connection while a large request body is streamed to it. The gateway no
   * longer has the streamed part, so only the client can send it again. The request was never
   * executed, so it is rejected with a 503.
   */
  @Test
  void streamedBodyIsNotRetried() throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    int port =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  attempts.incrementAndGet();
                  in.readNBytes(200_000);
                  socket.close();
                })
            .port();
    fixture.start(fixture.config(EndpointListJson.entry("s-1", port, "active")));
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "").replace("Length: 0", "Length: 1000000") + "x".repeat(300_000));
    HttpMessage response = client.receive();
    assertEquals(503, response.status(), "the request was never executed");
    assertEquals("close", response.header("Connection"));
    assertEquals(1, attempts.get());
  }

  /**
   * The first backend for a request with a large body refuses the connection. Nothing of the body
   * has been streamed yet, so the request goes to another backend.
   */
  @Test
  void largeBodyIsRetriedWhenConnectionIsRefused() throws Exception {
    ScriptedServer unreachable = fixture.listen(50, (in, out, socket) -> {});
    fixture.start(
        fixture.config(
            EndpointListJson.entry("s-1", fixture.backend.port(), "active"),
            EndpointListJson.entry("s-2", unreachable.port(), "active"),
            EndpointListJson.entry("s-3", unreachable.port(), "active")));
    unreachable.stopListening();
    byte[] body = randomBytes(1 << 20);
    for (int i = 0; i < 10; i++) {
      TestClient client = fixture.client();
      client.send(TestRequests.post("r" + i, "").replace("Length: 0", "Length: " + body.length));
      client.socket.getOutputStream().write(body);
      assertEquals(200, client.receive().status());
      assertArrayEquals(body, TestQueues.next(fixture.backend.received).body());
    }
  }

  /**
   * A client stops sending in the middle of a large body but stays connected. The client receives a
   * 408, and no backend executes the request.
   */
  @Test
  void stalledBodyIsRejectedWith408AndNotExecuted() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "").replace("Length: 0", "Length: 1000000") + "x".repeat(100_000));
    assertEquals(408, client.receive().status());
    assertTrue(fixture.backend.received.isEmpty());
    assertEquals(200, fixture.client().exchange(TestRequests.get("r2", 3000)).status());
  }

  /**
   * A client may send as slowly as 64 kB/s, no matter how long the body takes. The request timeout
   * counts from the end of the body.
   */
  @Test
  void slowBodyAboveTheMinimumRateIsServed() throws Exception {
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
      assertEquals(200, client.exchange("x".repeat(size)).status());
      assertEquals(size, TestQueues.next(fixture.backend.received).body().length);
    }
  }

  @Test
  void http10ClientsAndAbsoluteTargetsAreServed() throws Exception {
    fixture.start();
    HttpMessage http10Response =
        fixture.client().exchange(TestRequests.get("r1", 3000).replace("HTTP/1.1", "HTTP/1.0"));
    assertEquals("fine", http10Response.text());
    assertEquals("close", http10Response.header("Connection"));
    TestClient keepAliveClient = fixture.client();
    HttpMessage keepAliveResponse =
        keepAliveClient.exchange(
            TestRequests.get("r2", 3000)
                .replace("HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"));
    assertEquals("keep-alive", keepAliveResponse.header("Connection"));
    assertEquals(
        200,
        keepAliveClient
            .exchange(TestRequests.get("r3", 3000).replace("GET /", "GET http://backend.local/"))
            .status());
    TestQueues.next(fixture.backend.received);
    TestQueues.next(fixture.backend.received);
    assertEquals(
        "GET /quote/17?a=%20b&c HTTP/1.1", TestQueues.next(fixture.backend.received).firstLine());
  }

  /** Sends each unambiguous form of a request, first in one piece and then byte by byte. */
  @Test
  void acceptsAllUnambiguousRequestForms() throws Exception {
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
   * To an HTTP/1.0 client, the end of the connection is the end of a response without a length, so
   * an aborted response must not end like a complete one.
   */
  @Test
  void http10ClientDetectsAbortedStreamedResponse() throws Exception {
    fixture.start();
    CountDownLatch clientHasRead = new CountDownLatch(1);
    String http10Request = TestRequests.get("r1", 3000).replace("HTTP/1.1", "HTTP/1.0");
    byte[] body = randomBytes(200_000);
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          writeChunked(out, body, "");
          return true;
        };
    TestClient completeClient = fixture.client();
    assertNull(completeClient.exchange(http10Request).header("Transfer-Encoding"));
    assertEquals(body.length, completeClient.readRemainingByteCount());
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          TextStreams.write(out, "30000\r\n" + "x".repeat(0x30000) + "\r\n");
          pause(clientHasRead);
          return false;
        };
    TestClient abortedClient = fixture.client();
    abortedClient.exchange(http10Request);
    clientHasRead.countDown();
    assertThrows(IOException.class, () -> abortedClient.readRemainingByteCount());
  }

  /**
   * A client resets its connection in the middle of a streamed response. Before the event loop sees
   * the reset, the rest of the response proves malformed. The client's socket is already closed,
   * but the attempt must still end, or its request would be retained forever.
   */
  @Test
  void attemptEndsWhenResponseBreaksJustAfterClientDisconnects() throws Exception {
    CountDownLatch clientDisconnected = new CountDownLatch(1);
    CountDownLatch responseBroken = new CountDownLatch(1);
    fixture.backend.responder =
        (request, out) -> {
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          TextStreams.write(out, "20000\r\n" + "x".repeat(0x20000) + "\r\n");
          pause(clientDisconnected);
          TextStreams.write(out, "no chunk\r\n");
          responseBroken.countDown();
          return true;
        };
    GatewayServer gateway = fixture.start();
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 3000));
    client.socket.getInputStream().readNBytes(0x20000);
    CountDownLatch loopBlocked = new CountDownLatch(1);
    gateway.eventLoop.execute(
        () -> {
          loopBlocked.countDown();
          try {
            responseBroken.await(10, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    loopBlocked.await();
    client.socket.setSoLinger(true, 0);
    client.close();
    clientDisconnected.countDown();
    assertTrue(responseBroken.await(10, TimeUnit.SECONDS));
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (activeRequestCount(gateway) > 0 && System.nanoTime() < deadline) {
      Thread.onSpinWait();
    }
    assertEquals(0, activeRequestCount(gateway));
  }

  private static int activeRequestCount(GatewayServer gateway) throws Exception {
    return gateway
        .eventLoop
        .submit(() -> gateway.clients().driver().activeRequestCount())
        .sync()
        .getNow();
  }

  private static void pause(CountDownLatch latch) throws IOException {
    try {
      latch.await(10, TimeUnit.SECONDS);
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
