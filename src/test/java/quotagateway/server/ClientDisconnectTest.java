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
import quotagateway.testing.Peers;
import quotagateway.testing.Peers.Client;

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

    void by(Client client) throws IOException {
      if (this == HALF_CLOSE) {
        client.socket.shutdownOutput();
      } else {
        client.socket.setSoLinger(this == RESET, 0);
        client.close();
      }
    }
  }

  private final Peers peers = new Peers();
  private final CountDownLatch resume = new CountDownLatch(1);
  private final BlockingQueue<OutputStream> asked = new LinkedBlockingQueue<>();
  private GatewayServer gateway;

  @AfterEach
  void close() throws Exception {
    resume.countDown();
    peers.close();
  }

  /** Its requests wait for the counter, and for backends, until their time is up. */
  private void start(String config) throws Exception {
    gateway =
        peers.start(
            config
                .replace("\"CountLimitMs\":50", "\"CountLimitMs\":20000")
                .replace(
                    "\"AimMs\":1500,\"DeadlineMs\":4000",
                    "\"AimMs\":100000,\"DeadlineMs\":100000"));
  }

  private String config() {
    return peers.config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"));
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
  private OutputStream waitForCounter(Client client, String request) throws Exception {
    AtomicBoolean first = new AtomicBoolean(true);
    peers.counting = line -> first.getAndSet(false) ? null : peers.count(line);
    client.send(request);
    return Peers.next(peers.unanswered);
  }

  /** Leaves so many connections to the backend that the next requests are written to at once. */
  private void keepConnections(int number) throws Exception {
    peers.answer = (request, out) -> asked.add(out);
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < number; i++) {
      clients.add(peers.client());
      clients.get(i).send(Peers.get("kept" + i, 3000));
      Peers.next(peers.atBackend);
    }
    for (Client client : clients) {
      Peers.write(Peers.next(asked), Peers.OK);
    }
    for (Client client : clients) {
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
    return Peers.post("gone", "x".repeat(size)).replace(": 3000", ": 90000");
  }

  /** The next request that reaches a backend is one that was made after all of this. */
  private void assertNothingWasSent() throws Exception {
    awaitClosed();
    peers.answer = (request, out) -> Peers.write(out, Peers.OK);
    assertEquals(200, peers.client().ask(Peers.get("later", 3000)).status());
    assertEquals("later", Peers.next(peers.atBackend).header("Request-Id"));
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
    Client client = peers.client();
    OutputStream call = waitForCounter(client, Peers.get("gone", 90_000));
    holdLoop();
    Peers.write(call, "ok 1\r\n");
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
    Client client = peers.client();
    client.send(Peers.get("gone", 90_000));
    OutputStream backend = Peers.next(asked);
    Peers.next(peers.atBackend);
    holdLoop();
    Peers.write(backend, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
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
    Client client = peers.client();
    String post = post(READ_IN_PART);
    OutputStream call =
        waitForCounter(client, behindAnother ? Peers.get("first", 90_000) + post : post);
    leaving.by(client);
    awaitClosed();
    Peers.write(call, "ok 2\r\n");
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
    Client client = peers.client();
    OutputStream call = waitForCounter(client, post(HUGE));
    leaving.by(client);
    Peers.write(call, "ok 2\r\n");
    assertNothingWasSent();
  }

  /**
   * A request waits for a backend, as discovery has listed none yet. Its client leaves, and then a
   * backend is listed: the request must not be sent to it.
   */
  @ParameterizedTest
  @EnumSource
  void noAttemptStartsWhenTheClientLeftBeforeABackendWasKnown(Leaving leaving) throws Exception {
    start(peers.config());
    Client client = peers.client();
    client.send(Peers.get("gone", 90_000));
    Peers.next(peers.atCounter);
    Peers.next(peers.watches);
    leaving.by(client);
    awaitClosed();
    peers.tell(
        Peers.list(8, true, Peers.entry("s-1", peers.backend.getLocalPort(), "active")) + "\n");
    assertNothingWasSent();
  }
}
