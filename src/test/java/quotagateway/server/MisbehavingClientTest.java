package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelConfig;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;
import quotagateway.transport.ConnectionBudget;

/** Tests clients that hold connections, never complete a request, or send ambiguous requests. */
@Timeout(40)
class MisbehavingClientTest {

  /** Misbehaving clients must receive an error or a close within this time. */
  private static final long MAX_RESPONSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * Without a limit on connections, many clients could use up all descriptors, and no client would
   * be served. A connection over the limit is rejected with a 503 and closed; those within the
   * limit keep working.
   */
  @Test
  void connectionOverTheLimitIsRejectedWhileOthersAreServed() throws Exception {
    fixture.start(fixture.smallConfig());
    String request = TestRequests.get("r1", 3000);
    TestClient accepted;
    TestClient overLimit;
    int n = 0;
    do {
      // Repeats if the machine stalled: connections with an incomplete request may be closed on
      // timeout.
      for (int i = 1; i < GatewayFixture.FEW_CLIENT_CONNECTIONS; i++) {
        fixture.client().send(request.substring(0, 20));
      }
      accepted = fixture.client();
      accepted.send(request.substring(0, 20));
      overLimit = fixture.client();
    } while (overLimit.exchange(TestRequests.get("t" + n++, 3000)).status() != 503);
    assertTrue(overLimit.isClosedByPeer());
    assertEquals(200, accepted.exchange(request.substring(20)).status());
  }

  /**
   * Clients send one request each and never close their connections. Twice as many clients as the
   * connection limit connect one after another. Each is served, as connections are closed with
   * their responses when few are left.
   */
  @Test
  void idleClientsDoNotLockOutNewClients() throws Exception {
    fixture.start(fixture.smallConfig());
    assertNull(fixture.client().exchange(TestRequests.get("first", 3000)).header("Connection"));
    HttpMessage response = null;
    for (int i = 0; i < 2 * GatewayFixture.FEW_CLIENT_CONNECTIONS; i++) {
      response = fixture.client().exchange(TestRequests.get("r" + i, 3000));
      assertEquals(200, response.status());
    }
    assertEquals("close", response.header("Connection"));
  }

  /**
   * A slow client has sent half of its request when its connection is evicted for another client.
   * Without a response, the client would not know what became of its request.
   */
  @Test
  void partialRequestIsRejectedWhenItsConnectionIsEvicted() throws Exception {
    fixture.start(fixture.smallConfig());
    String partialRequest = TestRequests.get("half", 3000).substring(0, 20);
    TestClient slow = fixture.client();
    slow.send(partialRequest);
    for (int i = 1; i < GatewayFixture.FEW_CLIENT_CONNECTIONS; i++) {
      fixture.client().send(partialRequest);
    }
    TimeUnit.MILLISECONDS.sleep(500);
    fixture.client();
    assertEquals(503, slow.receive().status());
    assertTrue(slow.isClosedByPeer());
  }

  /**
   * As many clients as the connection limit connect and send nothing. After a period of silence,
   * the oldest is evicted for a new client. That client may still be rejected, as the evicted
   * connection ends after it has arrived, but the next one is accepted.
   */
  @Test
  void silentConnectionIsEvictedAtTheConnectionLimit() throws Exception {
    fixture.start(fixture.smallConfig());
    for (int i = 0; i < GatewayFixture.FEW_CLIENT_CONNECTIONS; i++) {
      fixture.client();
    }
    TimeUnit.MILLISECONDS.sleep(500);
    TestClient evicting = fixture.client();
    evicting.exchange(TestRequests.get("first", 3000));
    assertTrue(evicting.isClosedByPeer());
    assertEquals(200, fixture.client().exchange(TestRequests.get("second", 3000)).status());
  }

  /**
   * Client and backend connections share the descriptors. Clients fill their share, backends get
   * only what is reserved for them, and each side gets back what the other releases.
   */
  @Test
  void connectionBudgetIsSharedAndNeverExceeded() {
    ConnectionBudget budget = new ConnectionBudget(100);
    int clientConnections = budget.maxClientConnections();
    budget.addClientConnections(clientConnections);
    int backendConnections = 0;
    while (budget.hasRoomForBackendConnection()) {
      budget.addBackendConnections(1);
      backendConnections++;
    }
    assertEquals(100, clientConnections + backendConnections);
    assertTrue(budget.maxClientConnections() < clientConnections);
    budget.addClientConnections(-clientConnections);
    assertTrue(budget.hasRoomForBackendConnection());
  }

  /**
   * An event loop never again runs a periodic task that has thrown, so one faulty connection could
   * keep all overdue connections from being closed. One connection throws when it is checked; a
   * silent one must still be closed, and new clients are served.
   */
  @Test
  void overdueConnectionIsClosedAlthoughCheckOfAnotherThrows() throws Exception {
    GatewayServer gateway = fixture.start();
    TestClient silentClient = fixture.client();
    FailingChannel failingChannel =
        gateway
            .eventLoop
            .submit(
                () -> {
                  FailingChannel channel = new FailingChannel();
                  gateway.clients().addConnection(channel);
                  channel.writeInbound(
                      Unpooled.copiedBuffer(
                          TestRequests.post("r1", "body").replace("body", "b"),
                          StandardCharsets.ISO_8859_1));
                  channel.fails = true;
                  return channel;
                })
            .sync()
            .getNow();
    assertTrue(failingChannel.checked.await(10, TimeUnit.SECONDS));
    assertTrue(silentClient.isClosedByPeer());
    assertEquals(200, fixture.client().exchange(TestRequests.get("r2", 3000)).status());
  }

  /** A channel that throws when its configuration is read, as the check does. */
  private static final class FailingChannel extends EmbeddedChannel {
    final CountDownLatch checked = new CountDownLatch(1);
    boolean fails;

    @Override
    public ChannelConfig config() {
      if (fails) {
        checked.countDown();
        throw new IllegalStateException("thrown by the test");
      }
      return super.config();
    }
  }

  /**
   * A client sends one header after another and never ends the request. It must receive an error
   * within 3 s: the time counts from the beginning of the request, not from the last bytes.
   */
  @Test
  void trickledRequestHeadIsRejectedWith408WithinThreeSeconds() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    long startNanos = System.nanoTime();
    client.send("GET /quote/17 HTTP/1.1\r\n");
    client.socket.setSoTimeout(50);
    while (true) {
      try {
        assertEquals(408, client.receive().status());
        break;
      } catch (IOException e) {
        assertTrue(
            System.nanoTime() - startNanos < MAX_RESPONSE_NANOS,
            "neither an error nor a close within 3 s");
        client.send("X-Pad: 1\r\n");
      }
    }
    assertTrue(System.nanoTime() - startNanos < MAX_RESPONSE_NANOS);
  }

  /** A client connects and sends nothing. Its connection must be closed within 3 s. */
  @Test
  void silentConnectionIsClosedWithinThreeSeconds() throws Exception {
    fixture.start();
    long startNanos = System.nanoTime();
    assertTrue(fixture.client().isClosedByPeer());
    assertTrue(System.nanoTime() - startNanos < MAX_RESPONSE_NANOS);
  }

  /**
   * Request smuggling: with two lengths, or a malformed one, one parser sees a second request in
   * what another parser treats as a body. Such a request is rejected with a 400 and the connection
   * is closed; the hidden request reaches no backend.
   */
  @Test
  void requestWithAmbiguousFramingIsRejectedAndTheConnectionCloses() throws Exception {
    fixture.start();
    String hidden = TestRequests.get("hidden", 3000);
    String post = TestRequests.post("r1", "");
    for (String invalidRequest :
        new String[] {
          post.replace("Content-Length: 0", "Content-Length: 5\r\nTransfer-Encoding: chunked")
              + "0\r\n\r\n"
              + hidden,
          post.replace("Content-Length: 0", "Transfer-Encoding: chunked\r\nContent-Length: 5")
              + "0\r\n\r\n"
              + hidden,
          post.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 5") + hidden,
          post.replace("Content-Length: 0", "Content-Length: -5") + hidden,
          post.replace("Content-Length: 0", "Content-Length: +0") + hidden,
          post.replace("Content-Length: 0", "Content-Length: 0x0") + hidden,
          post.replace("Content-Length: 0", "Transfer-Encoding: xchunked") + hidden,
          post.replace("Request-Id: r1", "Request-Id: r1\r\nRequest-Id: r2"),
          post.replace("X-Plan: basic", "X-Plan: basic\r\nX-Plan: basic"),
          post.replace("X-Quota:", "X-Quota: units=1,spread=2,first=1\r\nX-Quota:")
        }) {
      TestClient client = fixture.client();
      client.send(invalidRequest);
      assertEquals(400, client.receive().status(), invalidRequest);
      client.socket.shutdownOutput();
      assertTrue(client.isClosedByPeer(), invalidRequest);
    }
    assertEquals(200, fixture.client().exchange(TestRequests.get("r2", 3000)).status());
    assertEquals("r2", TestQueues.next(fixture.backend.received).header("Request-Id"));
    assertNull(fixture.backend.received.poll());
  }

  /**
   * A request with a header value out of range is rejected with a 400 and reaches neither a backend
   * nor the counter. Otherwise one client could change the account of another customer.
   */
  @Test
  void headerValuesOutOfRangeReachNeitherBackendNorCounter() throws Exception {
    fixture.start();
    String validRequest = TestRequests.get("r1", 3000);
    TestClient client = fixture.client();
    for (String invalidRequest :
        new String[] {
          validRequest.replace("units=2", "units=9"),
          validRequest.replace("units=2", "units=-1"),
          validRequest.replace("units=2", "units=2.5"),
          validRequest.replace("spread=2", "spread=3"),
          validRequest.replace("spread=2", "spread=0"),
          validRequest.replace("first=1", "first=2"),
          validRequest.replace("first=1", "first=-1"),
          validRequest.replace(",first=1", ""),
          validRequest.replace("units=2", "units=99999999999999999999"),
          validRequest.replace(": 3000", ": 4001"),
          validRequest.replace(": 3000", ": 3e3"),
          validRequest.replace(": 3000", ": soon"),
          validRequest.replace("00000000b4d65521", "0000000200000000"),
          validRequest.replace("00000000b4d65521", "ffffffffffffffff")
        }) {
      assertEquals(400, client.exchange(invalidRequest).status(), invalidRequest);
    }
    assertEquals(200, client.exchange(validRequest).status());
    assertTrue(TestQueues.next(fixture.counter.calls).startsWith("incr "));
    assertNull(fixture.counter.calls.poll());
    TestQueues.next(fixture.backend.received);
    assertNull(fixture.backend.received.poll());
  }

  /**
   * A client announces a body of 60 MB, or sends as much in chunks. It receives an error, or its
   * connection is closed, before the body has arrived; the request is not executed, and other
   * clients are served.
   */
  @Test
  void oversizedBodyIsRejectedWith413BeforeItHasArrived() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "").replace("Content-Length: 0", "Content-Length: 60000000"));
    assertEquals(413, client.receive().status());
    TestClient chunkedClient = fixture.client();
    chunkedClient.send(
        TestRequests.post("cut", "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
    String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
    try {
      for (int i = 0; i < 2_000; i++) {
        chunkedClient.send(chunk);
      }
    } catch (SocketException e) {
      // The gateway has closed the connection, which tells the client as much as the error.
    }
    assertEquals(200, fixture.client().exchange(TestRequests.get("r2", 3000)).status());
    assertEquals(
        "r2",
        TestQueues.next(fixture.backend.received).header("Request-Id"),
        "an oversized request reached a backend");
  }

  /**
   * A client continues to send a body after it was rejected with an error. Closing a socket with
   * unread bytes resets the connection, and the reset may discard the error before the client has
   * read it. The gateway therefore shuts down only its output and continues to read for a limited
   * time: the client sees the error and an orderly close.
   */
  @Test
  void clientThatKeepsSendingReadsTheErrorAndAnOrderlyClose() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "").replace("Content-Length: 0", "Content-Length: 60000000"));
    assertEquals(413, client.receive().status());
    for (int i = 0; i < 10; i++) {
      client.send("x".repeat(1_000));
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertEquals(0, client.readRemainingByteCount(), "bytes after the error");
  }

  /**
   * A client completes its request just after the gateway has rejected it with a 408, while the
   * gateway still reads so that the error is not lost. The client will send the request again, so
   * it must not be forwarded and executed without a response.
   */
  @Test
  void requestCompletedAfterItsTimeoutIsNotForwarded() throws Exception {
    fixture.start();
    String request = TestRequests.get("late", 3000);
    TestClient client = fixture.client();
    client.send(request.substring(0, 40));
    assertEquals(408, client.receive().status());
    client.send(request.substring(40));
    assertNull(fixture.backend.received.poll(500, TimeUnit.MILLISECONDS));
    assertEquals(200, fixture.client().exchange(TestRequests.get("next", 3000)).status());
    assertEquals("next", TestQueues.next(fixture.backend.received).header("Request-Id"));
  }

  /**
   * A client pipelines requests with bodies after a request that closes the connection. They are
   * dropped with the connection. If they still counted as buffered bytes, they would add up until
   * all requests are rejected for lack of memory.
   */
  @Test
  void requestsPipelinedAfterConnectionCloseReleaseTheirMemory() throws Exception {
    fixture.start();
    fixture.backend.responder =
        (request, out) -> {
          // Gives the gateway time to read the pipelined requests.
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(150));
          return TextStreams.write(out, FakeBackend.OK_RESPONSE);
        };
    String closingRequest =
        TestRequests.get("last", 3000).replace("X-Plan", "Connection: close\r\nX-Plan");
    String pipelinedRequests = TestRequests.post("behind", "x".repeat(64_000)).repeat(15);
    for (int i = 0; i < 12; i++) {
      TestClient client = fixture.client();
      client.send(closingRequest.replace("last", "last" + i) + pipelinedRequests);
      assertEquals(200, client.receive().status());
      client.close();
    }
    assertEquals(200, fixture.client().exchange(TestRequests.get("next", 3000)).status());
  }

  /**
   * A client pipelines 200 requests on one connection, all of which would be held in memory. Those
   * within the limit receive responses, and then the connection is closed.
   */
  @Test
  void pipelinedRequestsBeyondTheLimitGetNoResponse() throws Exception {
    fixture.start();
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < 200; i++) {
      requests.append(TestRequests.get("r" + i, 3000));
    }
    TestClient client = fixture.client();
    client.send(requests.toString());
    int responses = 0;
    try {
      while (client.receive().status() == 200) {
        responses++;
      }
    } catch (IOException e) {
      // The connection is closed.
    }
    assertTrue(responses > 0 && responses < 200, "responses: " + responses);
  }
}
