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

/** What arrived while the gateway stood still, as one that is short of CPU does. */
@Timeout(30)
class DelayedReadTest {

  private final GatewayFixture fixture = new GatewayFixture();
  private final CountDownLatch standing = new CountDownLatch(1);
  private final CountDownLatch go = new CountDownLatch(1);

  @BeforeEach
  void standStill() throws Exception {
    GatewayServer gateway = fixture.start();
    assertEquals(200, fixture.client().ask(TestRequests.get("first", 3000)).status());
    TestQueues.next(fixture.backend.received);
    gateway.loop.execute(
        () -> {
          standing.countDown();
          try {
            go.await(10, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    standing.await();
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * The gateway stands still; 20 clients send a request and leave, one stays. When it goes on, only
   * the request of the one that stayed reaches a backend.
   */
  @Test
  void requestsOfClientsThatLeftDuringAStallAreNotForwarded() throws Exception {
    for (int i = 0; i < 20; i++) {
      TestClient gone = fixture.client();
      gone.send(TestRequests.get("gone" + i, 3000));
      gone.close();
    }
    TestClient stays = fixture.client();
    stays.send(TestRequests.get("stays", 3000));
    go.countDown();
    assertEquals(200, stays.receive().status());
    assertEquals("stays", TestQueues.next(fixture.backend.received).header("Request-Id"));
  }

  /**
   * A request arrives while the gateway stands still, and is read half a second later. The backend
   * is given the time that is left since the arrival, not the time that the client stated.
   */
  @Test
  void requestTimeoutCountsFromTheArrivalDuringAStall() throws Exception {
    assumeTrue(Epoll.isAvailable(), "only there the kernel tells when it came");
    TestClient client = fixture.client();
    client.send(TestRequests.get("old", 3000));
    TimeUnit.MILLISECONDS.sleep(500);
    go.countDown();
    assertEquals(200, client.receive().status());
    HttpMessage sent = TestQueues.next(fixture.backend.received);
    int left = Integer.parseInt(sent.header("Request-Timeout-Ms"));
    assertTrue(left < 2_600, left + " ms told, 500 of 3000 were over");
  }

  /**
   * A request arrives while the gateway stands still, and its time is over before it is read. It is
   * rejected and reaches no backend.
   */
  @Test
  void requestThatTimedOutDuringAStallIsRejectedUnsent() throws Exception {
    assumeTrue(Epoll.isAvailable(), "only there the kernel tells when it came");
    TestClient client = fixture.client();
    client.send(TestRequests.get("over", 300));
    TimeUnit.MILLISECONDS.sleep(400);
    go.countDown();
    assertEquals(503, client.receive().status());
    assertTrue(fixture.backend.received.isEmpty());
  }
}
