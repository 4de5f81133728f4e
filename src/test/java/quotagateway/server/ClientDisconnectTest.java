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

/** No attempt begins for a client that has left, whatever its request waited for when it did. */
@Timeout(30)
class ClientDisconnectTest {

  /** After this a connection to a backend is used again. */
  private static final long SETTLED_MS = 20;

  /**
   * More than is held of a body, and no more than the kernel holds beyond that; and more than that.
   */
  private static final int READ_IN_PART = 150_000;

  private static final int HUGE = 400_000;
  private static final String NEEDS_EPOLL =
      "only there the kernel tells of a close that was not read";

  /** How a client leaves: it closes, ends only its sending, or resets the connection. */
  enum Leaving {
    CLOSE,
    HALF_CLOSE,
    RESET;

    void by(TestClient client) throws IOException {
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
  private final BlockingQueue<OutputStream> asked = new LinkedBlockingQueue<>();
  private GatewayServer gateway;

  @AfterEach
  void close() throws Exception {
    resume.countDown();
    fixture.close();
  }

  /** Its requests wait for the counter, and for backends, until their time is up. */
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

  private void holdLoop() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    gateway.loop.execute(
        () -> {
          held.countDown();
          try {
            resume.await(10, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    held.await();
  }

  /**
   * Sends a request whose first call to the counter is not answered yet; gives that call's
   * connection.
   */
  private OutputStream waitForCounter(TestClient client, String request) throws Exception {
    AtomicBoolean first = new AtomicBoolean(true);
    fixture.counter.replies = line -> first.getAndSet(false) ? null : fixture.counter.count(line);
    client.send(request);
    return TestQueues.next(fixture.counter.unanswered);
  }

  /** Leaves so many connections to the backend that the next requests are written to at once. */
  private void keepConnections(int number) throws Exception {
    fixture.backend.responder = (request, out) -> asked.add(out);
    List<TestClient> clients = new ArrayList<>();
    for (int i = 0; i < number; i++) {
      clients.add(fixture.client());
      clients.get(i).send(TestRequests.get("kept" + i, 3000));
      TestQueues.next(fixture.backend.received);
    }
    for (int i = 0; i < number; i++) {
      TextStreams.write(TestQueues.next(asked), FakeBackend.OK_RESPONSE);
    }
    for (TestClient client : clients) {
      assertEquals(200, client.receive().status());
      client.close();
    }
    gateway.loop.schedule(() -> {}, SETTLED_MS, TimeUnit.MILLISECONDS).sync();
  }

  private void awaitClosed() throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (gateway.loop.submit(() -> !gateway.clients().hasNoConnections()).get()) {
      assertTrue(System.nanoTime() < until, "the connection of a client that has left is kept");
    }
  }

  private static String post(int size) {
    return TestRequests.post("gone", "x".repeat(size)).replace(": 3000", ": 90000");
  }

  /** The next request that reaches a backend is one that was made after all of this. */
  private void assertNothingWasSent() throws Exception {
    awaitClosed();
    fixture.backend.responder = (request, out) -> TextStreams.write(out, FakeBackend.OK_RESPONSE);
    assertEquals(200, fixture.client().ask(TestRequests.get("later", 3000)).status());
    assertEquals("later", TestQueues.next(fixture.backend.received).header("Request-Id"));
  }

  /**
   * The event loop stands still; meanwhile the counter replies and the client leaves. The loop then
   * reads the reply first, and would start the first attempt for a client that is gone. The reply
   * admits the request, or where the plan limits concurrency gives it a permit.
   */
  @ParameterizedTest
  @CsvSource({"CLOSE,false", "HALF_CLOSE,false", "RESET,false", "CLOSE,true"})
  void noAttemptStartsWhenTheCounterReplyIsReadBeforeTheClose(Leaving leaving, boolean forPlace)
      throws Exception {
    assumeTrue(Epoll.isAvailable(), NEEDS_EPOLL);
    start(forPlace ? config().replace("\"Refill\":400,", "\"Open\":1,") : config());
    keepConnections(1);
    TestClient client = fixture.client();
    OutputStream call = waitForCounter(client, TestRequests.get("gone", 90_000));
    holdLoop();
    TextStreams.write(call, "ok 1\r\n");
    leaving.by(client);
    resume.countDown();
    assertNothingWasSent();
  }

  /**
   * The event loop stands still; meanwhile a backend answers with an error and the client leaves.
   * The loop then reads the error first, and would start a retry for a client that is gone.
   */
  @ParameterizedTest
  @EnumSource
  void noRetryStartsWhenTheBackendsErrorIsReadBeforeTheClose(Leaving leaving) throws Exception {
    assumeTrue(Epoll.isAvailable(), NEEDS_EPOLL);
    start(config());
    keepConnections(2);
    TestClient client = fixture.client();
    client.send(TestRequests.get("gone", 90_000));
    OutputStream backend = TestQueues.next(asked);
    TestQueues.next(fixture.backend.received);
    holdLoop();
    TextStreams.write(backend, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
    leaving.by(client);
    resume.countDown();
    assertNothingWasSent();
  }

  /**
   * A large body is not read on while its request, or one before it, waits for the counter. The
   * client leaves, and its close lies unread behind the body: the kernel has to be asked.
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
  void noAttemptStartsWhenTheCloseIsBehindAnUnreadBody(Leaving leaving, boolean behindAnother)
      throws Exception {
    assumeTrue(Epoll.isAvailable(), NEEDS_EPOLL);
    start(config());
    TestClient client = fixture.client();
    String post = post(READ_IN_PART);
    OutputStream call =
        waitForCounter(client, behindAnother ? TestRequests.get("first", 90_000) + post : post);
    leaving.by(client);
    awaitClosed();
    TextStreams.write(call, "ok 2\r\n");
    assertNothingWasSent();
  }

  /**
   * The kernel has no room for all of a huge body, so it learns of the client's close only when the
   * rest is read, while the body is being streamed. The backend must not get the last byte: it
   * would execute the request.
   */
  @ParameterizedTest
  @EnumSource
  void backendGetsNoLastByteWhenTheCloseIsBehindAHugeBody(Leaving leaving) throws Exception {
    assumeTrue(Epoll.isAvailable(), NEEDS_EPOLL);
    start(config());
    TestClient client = fixture.client();
    OutputStream call = waitForCounter(client, post(HUGE));
    leaving.by(client);
    TextStreams.write(call, "ok 2\r\n");
    assertNothingWasSent();
  }

  /**
   * A request waits for a backend, as discovery has listed none yet. Its client leaves, and then a
   * backend is listed: the request must not be sent to it.
   */
  @ParameterizedTest
  @EnumSource
  void noAttemptStartsWhenTheClientLeftBeforeABackendWasKnown(Leaving leaving) throws Exception {
    start(fixture.config());
    TestClient client = fixture.client();
    client.send(TestRequests.get("gone", 90_000));
    TestQueues.next(fixture.counter.calls);
    TestQueues.next(fixture.discovery.watches);
    leaving.by(client);
    awaitClosed();
    fixture.discovery.send(
        EndpointListJson.list(
                8, true, EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
            + "\n");
    assertNothingWasSent();
  }
}
