package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.epoll.Epoll;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;

/** Tests requests that arrive while the event loop is blocked, as happens when CPU is scarce. */
@Timeout(30)
class EventLoopStallTest {

  private final GatewayFixture fixture = new GatewayFixture();
  private final CountDownLatch loopBlocked = new CountDownLatch(1);
  private final CountDownLatch unblocked = new CountDownLatch(1);

  @BeforeEach
  void blockLoop() throws Exception {
    GatewayServer gateway = fixture.start();
    assertEquals(200, fixture.client().exchange(TestRequests.get("first", 3000)).status());
    TestQueues.next(fixture.backend.received);
    gateway.eventLoop.execute(
        () -> {
          loopBlocked.countDown();
          try {
            unblocked.await(10, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    loopBlocked.await();
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * While the event loop is blocked, 20 clients send a request and disconnect, and one stays
   * connected. Afterwards only the request of the connected client reaches a backend.
   */
  @Test
  void requestsOfClientsThatDisconnectDuringAStallAreNotForwarded() throws Exception {
    for (int i = 0; i < 20; i++) {
      TestClient disconnected = fixture.client();
      disconnected.send(TestRequests.get("gone" + i, 3000));
      disconnected.close();
    }
    TestClient connected = fixture.client();
    connected.send(TestRequests.get("stays", 3000));
    unblocked.countDown();
    assertEquals(200, connected.receive().status());
    assertEquals("stays", TestQueues.next(fixture.backend.received).header("Request-Id"));
  }

  /**
   * A request arrives while the event loop is blocked and is read 500 ms later. The backend
   * receives the time that remains since the arrival, not the timeout that the client stated.
   */
  @Test
  void requestTimeoutCountsFromArrivalDuringAStall() throws Exception {
    assumeTrue(Epoll.isAvailable(), "arrival times are available only with epoll");
    TestClient client = fixture.client();
    client.send(TestRequests.get("old", 3000));
    TimeUnit.MILLISECONDS.sleep(500);
    unblocked.countDown();
    assertEquals(200, client.receive().status());
    HttpMessage forwarded = TestQueues.next(fixture.backend.received);
    int forwardedTimeoutMs = Integer.parseInt(forwarded.header("Request-Timeout-Ms"));
    assertTrue(
        forwardedTimeoutMs < 2_600,
        forwardedTimeoutMs + " ms forwarded although 500 of 3000 ms had passed");
  }

  /**
   * A request arrives while the event loop is blocked, and its timeout expires before it is read.
   * It is rejected and reaches no backend.
   */
  @Test
  void requestThatTimesOutDuringAStallIsRejectedWithoutAnAttempt() throws Exception {
    assumeTrue(Epoll.isAvailable(), "arrival times are available only with epoll");
    TestClient client = fixture.client();
    client.send(TestRequests.get("over", 300));
    TimeUnit.MILLISECONDS.sleep(400);
    unblocked.countDown();
    assertEquals(503, client.receive().status());
    assertTrue(fixture.backend.received.isEmpty());
  }
}
