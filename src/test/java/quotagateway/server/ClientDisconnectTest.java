package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.epoll.Epoll;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/**
 * Verifies that no attempt starts for a client that has disconnected, whatever its request was
 * waiting for.
 */
@Timeout(30)
class ClientDisconnectTest {

  /** The pool reuses a backend connection no earlier than this after a response. */
  private static final long REUSE_DELAY_MS = 20;

  /**
   * A body that the gateway buffers in part and whose rest fits into the kernel's receive buffer.
   */
  private static final int PARTIALLY_READ_BODY_BYTES = 150_000;

  /** A body whose rest does not fit into the kernel's receive buffer. */
  private static final int HUGE_BODY_BYTES = 400_000;

  private static final String NEEDS_EPOLL = "only epoll reports a close that follows unread bytes";

  /** Ways in which a client disconnects: closing, shutting down only its output, or resetting. */
  enum DisconnectKind {
    CLOSE,
    HALF_CLOSE,
    RESET;

    void disconnect(TestClient client) throws IOException {
      if (this == HALF_CLOSE) {
        client.socket.shutdownOutput();
      } else {
        client.socket.setSoLinger(this == RESET, 0);
        client.close();
      }
    }
  }

  private final GatewayFixture fixture = new GatewayFixture();
  private final CountDownLatch resume = new CountDownLatch(1);
  private final BlockingQueue<OutputStream> openResponses = new LinkedBlockingQueue<>();
  private GatewayServer gateway;

  @AfterEach
  void close() throws Exception {
    resume.countDown();
    fixture.close();
  }

  /** Starts a gateway whose requests wait for the counter and for backends until their deadline. */
  private void start(String config) throws Exception {
    gateway =
        fixture.start(
            config
                .replace("\"CountLimitMs\":50", "\"CountLimitMs\":20000")
                .replace(
                    "\"AimMs\":1500,\"DeadlineMs\":4000",
                    "\"AimMs\":100000,\"DeadlineMs\":100000"));
  }

  private String config() {
    return fixture.config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"));
  }

  private void blockLoop() throws InterruptedException {
    CountDownLatch loopBlocked = new CountDownLatch(1);
    gateway.eventLoop.execute(
        () -> {
          loopBlocked.countDown();
          try {
            resume.await(10, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    loopBlocked.await();
  }

  /**
   * Sends a request and leaves its first call to the counter unanswered. Returns the connection of
   * that call.
   */
  private OutputStream sendWithCounterCallUnanswered(TestClient client, String request)
      throws Exception {
    AtomicBoolean first = new AtomicBoolean(true);
    fixture.counter.responder = line -> first.getAndSet(false) ? null : fixture.counter.count(line);
    client.send(request);
    return TestQueues.next(fixture.counter.unanswered);
  }

  /**
   * Opens idle connections to the backend, on which the next requests are written without a
   * connect.
   */
  private void openIdleConnections(int count) throws Exception {
    fixture.backend.responder = (request, out) -> openResponses.add(out);
    List<TestClient> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      clients.add(fixture.client());
      clients.get(i).send(TestRequests.get("kept" + i, 3000));
      TestQueues.next(fixture.backend.received);
    }
    for (int i = 0; i < count; i++) {
      TextStreams.write(TestQueues.next(openResponses), FakeBackend.OK_RESPONSE);
    }
    for (TestClient client : clients) {
      assertEquals(200, client.receive().status());
      client.close();
    }
    gateway.eventLoop.schedule(() -> {}, REUSE_DELAY_MS, TimeUnit.MILLISECONDS).sync();
  }

  private void awaitNoConnections() throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (gateway.eventLoop.submit(() -> !gateway.clients().hasNoConnections()).get()) {
      assertTrue(
          System.nanoTime() < deadline, "the connection of a disconnected client is still open");
    }
  }

  private static String post(int size) {
    return TestRequests.post("gone", "x".repeat(size)).replace(": 3000", ": 90000");
  }

  /** Asserts that the next request to reach a backend is one that is sent only now. */
  private void assertRequestWasNotForwarded() throws Exception {
    awaitNoConnections();
    fixture.backend.responder = (request, out) -> TextStreams.write(out, FakeBackend.OK_RESPONSE);
    assertEquals(200, fixture.client().exchange(TestRequests.get("later", 3000)).status());
    assertEquals("later", TestQueues.next(fixture.backend.received).header("Request-Id"));
  }

  /**
   * The event loop is blocked while the counter replies and the client disconnects. The loop then
   * reads the reply first and could start the first attempt for a disconnected client. The reply
   * admits the request or, if the plan limits concurrency, gives it a permit.
   */
  @ParameterizedTest
  @CsvSource({"CLOSE,false", "HALF_CLOSE,false", "RESET,false", "CLOSE,true"})
  void noAttemptStartsWhenCounterReplyIsReadBeforeDisconnect(
      DisconnectKind disconnectKind, boolean limitsConcurrency) throws Exception {
    assumeTrue(Epoll.isAvailable(), NEEDS_EPOLL);
    start(limitsConcurrency ? config().replace("\"Refill\":400,", "\"Open\":1,") : config());
    openIdleConnections(1);
    TestClient client = fixture.client();
    OutputStream counterCall =
        sendWithCounterCallUnanswered(client, TestRequests.get("gone", 90_000));
    blockLoop();
    TextStreams.write(counterCall, "ok 1\r\n");
    disconnectKind.disconnect(client);
    resume.countDown();
    assertRequestWasNotForwarded();
  }

  /**
   * The event loop is blocked while a backend responds with an error and the client disconnects.
   * The loop then reads the error first and could start a retry for a disconnected client.
   */
  @ParameterizedTest
  @EnumSource
  void noRetryStartsWhenBackendErrorIsReadBeforeDisconnect(DisconnectKind disconnectKind)
      throws Exception {
    assumeTrue(Epoll.isAvailable(), NEEDS_EPOLL);
    start(config());
    openIdleConnections(2);
    TestClient client = fixture.client();
    client.send(TestRequests.get("gone", 90_000));
    OutputStream backend = TestQueues.next(openResponses);
    TestQueues.next(fixture.backend.received);
    blockLoop();
    TextStreams.write(backend, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
    disconnectKind.disconnect(client);
    resume.countDown();
    assertRequestWasNotForwarded();
  }

  /**
   * The gateway stops reading a large body while its request, or an earlier one, waits for the
   * counter. The client disconnects, and its close follows the unread body, so the gateway must
   * query the kernel to detect it.
   */
  @ParameterizedTest
  @CsvSource({
    "CLOSE,false",
    "HALF_CLOSE,false",
    "RESET,false",
    "CLOSE,true",
    "HALF_CLOSE,true",
    "RESET,true"
  })
  void noAttemptStartsWhenDisconnectFollowsUnreadBody(
      DisconnectKind disconnectKind, boolean afterAnotherRequest) throws Exception {
    assumeTrue(Epoll.isAvailable(), NEEDS_EPOLL);
    start(config());
    TestClient client = fixture.client();
    String post = post(PARTIALLY_READ_BODY_BYTES);
    OutputStream counterCall =
        sendWithCounterCallUnanswered(
            client, afterAnotherRequest ? TestRequests.get("first", 90_000) + post : post);
    disconnectKind.disconnect(client);
    awaitNoConnections();
    TextStreams.write(counterCall, "ok 2\r\n");
    assertRequestWasNotForwarded();
  }

  /**
   * A huge body does not fit into the kernel's receive buffer, so the kernel receives the client's
   * close only after the rest has been read, while the body is being streamed. The backend must not
   * get the last byte, or it would execute the request.
   */
  @ParameterizedTest
  @EnumSource
  void backendDoesNotGetLastByteWhenDisconnectFollowsHugeBody(DisconnectKind disconnectKind)
      throws Exception {
    assumeTrue(Epoll.isAvailable(), NEEDS_EPOLL);
    start(config());
    TestClient client = fixture.client();
    OutputStream counterCall = sendWithCounterCallUnanswered(client, post(HUGE_BODY_BYTES));
    disconnectKind.disconnect(client);
    TextStreams.write(counterCall, "ok 2\r\n");
    assertRequestWasNotForwarded();
  }

  /**
   * The client's close is behind more of its body than the kernel holds. While the request waits,
   * the gateway must read on, or it would not notice the close and begin an attempt when the wait
   * is over. So it must if the body belongs to a request that waits behind an open one.
   */
  @ParameterizedTest
  @CsvSource({
    "CLOSE,false",
    "HALF_CLOSE,false",
    "RESET,false",
    "CLOSE,true",
    "HALF_CLOSE,true",
    "RESET,true"
  })
  void disconnectBehindHugeBodyIsNoticedWhileItsRequestWaits(
      DisconnectKind disconnectKind, boolean afterAnotherRequest) throws Exception {
    start(config());
    TestClient client = fixture.client();
    String post = post(HUGE_BODY_BYTES);
    OutputStream counterCall =
        sendWithCounterCallUnanswered(
            client, afterAnotherRequest ? TestRequests.get("first", 90_000) + post : post);
    disconnectKind.disconnect(client);
    awaitNoConnections();
    TextStreams.write(counterCall, "ok 2\r\n");
    assertRequestWasNotForwarded();
  }

  /**
   * A request waits for a backend, as discovery has listed none yet. The client disconnects before
   * a backend is listed. The request must not be sent to that backend.
   */
  @ParameterizedTest
  @EnumSource
  void noAttemptStartsWhenClientDisconnectsBeforeABackendIsKnown(DisconnectKind disconnectKind)
      throws Exception {
    start(fixture.config());
    TestClient client = fixture.client();
    client.send(TestRequests.get("gone", 90_000));
    TestQueues.next(fixture.counter.calls);
    TestQueues.next(fixture.discovery.watches);
    disconnectKind.disconnect(client);
    awaitNoConnections();
    fixture.discovery.send(
        EndpointListJson.list(
                8, true, EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
            + "\n");
    assertRequestWasNotForwarded();
  }
}
