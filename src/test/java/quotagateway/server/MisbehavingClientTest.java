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
import quotagateway.config.ResourceLimits;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;
import quotagateway.transport.ConnectionBudget;

/** Clients that hold connections, never finish, or send what could be read in two ways. */
@Timeout(40)
class MisbehavingClientTest {

  private static final long OWED_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final int PLACES =
      new ConnectionBudget(ResourceLimits.of(GatewayFixture.FEW_DESCRIPTORS, 128, 1).connections())
          .maxClientConnections();

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * Without a bound on connections a crowd takes all descriptors, and nobody is served any more.
   * Over the bound one connection is rejected with a 503 and closed; those within it keep working.
   */
  @Test
  void connectionOverTheBudgetIsRejectedWhileTheOthersAreServed() throws Exception {
    fixture.start(fixture.smallConfig());
    String request = TestRequests.get("r1", 3000);
    TestClient taken;
    TestClient tooMany;
    int n = 0;
    do {
      // Again if the machine stood still: those that send no whole request may be ended after a
      // while.
      for (int i = 1; i < PLACES; i++) {
        fixture.client().send(request.substring(0, 20));
      }
      taken = fixture.client();
      taken.send(request.substring(0, 20));
      tooMany = fixture.client();
    } while (tooMany.ask(TestRequests.get("t" + n++, 3000)).status() != 503);
    assertTrue(tooMany.ended());
    assertEquals(200, taken.ask(request.substring(20)).status());
  }

  /**
   * Clients send one request each and keep their connection for good. Twice as many as there are
   * places connect one after another: each is served, as connections end with their responses when
   * places get scarce.
   */
  @Test
  void crowdOfIdleClientsLocksNobodyOut() throws Exception {
    fixture.start(fixture.smallConfig());
    assertNull(fixture.client().ask(TestRequests.get("first", 3000)).header("Connection"));
    HttpMessage answer = null;
    for (int i = 0; i < 2 * PLACES; i++) {
      answer = fixture.client().ask(TestRequests.get("r" + i, 3000));
      assertEquals(200, answer.status());
    }
    assertEquals("close", answer.header("Connection"));
  }

  /**
   * A slow client has sent half of its request when another needs its place. Closed without a
   * response, it would have to take its request for lost.
   */
  @Test
  void halfReceivedRequestIsRejectedWhenItsPlaceIsTaken() throws Exception {
    fixture.start(fixture.smallConfig());
    String half = TestRequests.get("half", 3000).substring(0, 20);
    TestClient slow = fixture.client();
    slow.send(half);
    for (int i = 1; i < PLACES; i++) {
      fixture.client().send(half);
    }
    TimeUnit.MILLISECONDS.sleep(500);
    fixture.client();
    assertEquals(503, slow.receive().status());
    assertTrue(slow.ended());
  }

  /**
   * Clients connect, send nothing and stay, as many as there are places. Once they have been silent
   * for a while, the oldest is evicted for a new one: that one may still be rejected, as the
   * evicted one ends behind it, but the next one finds a place.
   */
  @Test
  void silentConnectionIsEvictedWhenPlacesAreTaken() throws Exception {
    fixture.start(fixture.smallConfig());
    for (int i = 0; i < PLACES; i++) {
      fixture.client();
    }
    TimeUnit.MILLISECONDS.sleep(500);
    TestClient first = fixture.client();
    first.ask(TestRequests.get("first", 3000));
    assertTrue(first.ended());
    assertEquals(200, fixture.client().ask(TestRequests.get("second", 3000)).status());
  }

  /**
   * Connections of clients and to backends share the descriptors. Clients fill their part; backends
   * get what was kept for them and no more; and either gets back what the other gives up.
   */
  @Test
  void budgetIsSharedByClientsAndBackendsAndNeverExceeded() {
    ConnectionBudget places = new ConnectionBudget(100);
    int crowd = places.maxClientConnections();
    places.addClientConnections(crowd);
    int backends = 0;
    while (places.hasRoomForBackendConnection()) {
      places.addBackendConnections(1);
      backends++;
    }
    assertEquals(100, crowd + backends);
    assertTrue(places.maxClientConnections() < crowd);
    places.addClientConnections(-crowd);
    assertTrue(places.hasRoomForBackendConnection());
  }

  /**
   * An event loop never again runs a periodic task that has thrown: one faulty connection would let
   * all overdue ones hold their places for good. One connection throws at its check; a silent one
   * is closed all the same, and new clients are served.
   */
  @Test
  void overdueConnectionsAreClosedThoughTheCheckOfAnotherThrows() throws Exception {
    GatewayServer gateway = fixture.start();
    TestClient silent = fixture.client();
    FailingChannel failing =
        gateway
            .loop
            .submit(
                () -> {
                  FailingChannel channel = new FailingChannel();
                  gateway.clients().adopt(channel);
                  channel.writeInbound(
                      Unpooled.copiedBuffer(
                          TestRequests.post("r1", "body").replace("body", "b"),
                          StandardCharsets.ISO_8859_1));
                  channel.fails = true;
                  return channel;
                })
            .sync()
            .getNow();
    assertTrue(failing.asked.await(10, TimeUnit.SECONDS));
    assertTrue(silent.ended());
    assertEquals(200, fixture.client().ask(TestRequests.get("r2", 3000)).status());
  }

  /** One that throws when it is asked whether it reads. */
  private static final class FailingChannel extends EmbeddedChannel {
    final CountDownLatch asked = new CountDownLatch(1);
    boolean fails;

    @Override
    public ChannelConfig config() {
      if (fails) {
        asked.countDown();
        throw new IllegalStateException("as a test has it");
      }
      return super.config();
    }
  }

  /**
   * A client sends one header after another and never ends the request. It gets its error within
   * the 3 s that misbehaving clients are owed: the time counts from the beginning, not from the
   * last bytes.
   */
  @Test
  void trickledHeadIsAnsweredWith408InTime() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    long from = System.nanoTime();
    client.send("GET /quote/17 HTTP/1.1\r\n");
    client.socket.setSoTimeout(50);
    while (true) {
      try {
        assertEquals(408, client.receive().status());
        break;
      } catch (IOException e) {
        assertTrue(System.nanoTime() - from < OWED_NANOS, "neither an error nor a close in time");
        client.send("X-Pad: 1\r\n");
      }
    }
    assertTrue(System.nanoTime() - from < OWED_NANOS);
  }

  /**
   * A client connects and sends nothing. Its connection is closed within the 3 s that misbehaving
   * clients are owed.
   */
  @Test
  void silentConnectionIsClosedInTime() throws Exception {
    fixture.start();
    long from = System.nanoTime();
    assertTrue(fixture.client().ended());
    assertTrue(System.nanoTime() - from < OWED_NANOS);
  }

  /**
   * Request smuggling: two lengths, or an odd one, let one reader see a second request in what is a
   * body to another. Such a request gets a 400 and the connection ends; the hidden one reaches no
   * backend.
   */
  @Test
  void requestWithAmbiguousFramingIsRejectedAndTheConnectionCloses() throws Exception {
    fixture.start();
    String hidden = TestRequests.get("hidden", 3000);
    String post = TestRequests.post("r1", "");
    for (String invalid :
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
      client.send(invalid);
      assertEquals(400, client.receive().status(), invalid);
      client.socket.shutdownOutput();
      assertTrue(client.ended(), invalid);
    }
    assertEquals(200, fixture.client().ask(TestRequests.get("r2", 3000)).status());
    assertEquals("r2", TestQueues.next(fixture.backend.received).header("Request-Id"));
    assertNull(fixture.backend.received.poll());
  }

  /**
   * A value out of range, in whomever's name, is no request: a customer's account would move by
   * what another one sent. It gets a 400, and neither a backend nor the counter hears of it.
   */
  @Test
  void headerValuesOutOfRangeReachNeitherBackendNorCounter() throws Exception {
    fixture.start();
    String good = TestRequests.get("r1", 3000);
    TestClient client = fixture.client();
    for (String invalid :
        new String[] {
          good.replace("units=2", "units=9"),
          good.replace("units=2", "units=-1"),
          good.replace("units=2", "units=2.5"),
          good.replace("spread=2", "spread=3"),
          good.replace("spread=2", "spread=0"),
          good.replace("first=1", "first=2"),
          good.replace("first=1", "first=-1"),
          good.replace(",first=1", ""),
          good.replace("units=2", "units=99999999999999999999"),
          good.replace(": 3000", ": 4001"),
          good.replace(": 3000", ": 3e3"),
          good.replace(": 3000", ": soon"),
          good.replace("00000000b4d65521", "0000000200000000"),
          good.replace("00000000b4d65521", "ffffffffffffffff")
        }) {
      assertEquals(400, client.ask(invalid).status(), invalid);
    }
    assertEquals(200, client.ask(good).status());
    assertTrue(TestQueues.next(fixture.counter.calls).startsWith("incr "));
    assertNull(fixture.counter.calls.poll());
    TestQueues.next(fixture.backend.received);
    assertNull(fixture.backend.received.poll());
  }

  /**
   * A client announces 60 MB, or sends as much in chunks. It gets its error, or a close, before the
   * body has come; nothing of it is executed, and other clients are served.
   */
  @Test
  void bodyOverTheLimitIsAnsweredWith413BeforeItHasCome() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "").replace("Content-Length: 0", "Content-Length: 60000000"));
    assertEquals(413, client.receive().status());
    TestClient chunked = fixture.client();
    chunked.send(
        TestRequests.post("cut", "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
    String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
    try {
      for (int i = 0; i < 2_000; i++) {
        chunked.send(chunk);
      }
    } catch (SocketException e) {
      // The gateway has closed the connection, which the client sees as well as the error.
    }
    assertEquals(200, fixture.client().ask(TestRequests.get("r2", 3000)).status());
    assertEquals(
        "r2",
        TestQueues.next(fixture.backend.received).header("Request-Id"),
        "none came whole before");
  }

  /**
   * A client goes on sending a body that has been answered with an error. A close over unread bytes
   * resets the connection, and the reset may drop the error before the client has read it. So the
   * gateway ends its sending and reads on for a while: the client sees the error and a regular end.
   */
  @Test
  void clientThatGoesOnSendingReadsItsErrorAndARegularEnd() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    client.send(
        TestRequests.post("r1", "").replace("Content-Length: 0", "Content-Length: 60000000"));
    assertEquals(413, client.receive().status());
    for (int i = 0; i < 10; i++) {
      client.send("x".repeat(1_000));
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertEquals(0, client.rest(), "bytes behind the error");
  }

  /**
   * A client completes its request just after that was answered with a time-out, while the gateway
   * still reads on so that the error is not lost. Forwarded, the request would be executed without
   * a response; unread, its client sends it again.
   */
  @Test
  void requestCompletedBehindItsTimeoutIsNotForwarded() throws Exception {
    fixture.start();
    String request = TestRequests.get("late", 3000);
    TestClient client = fixture.client();
    client.send(request.substring(0, 40));
    assertEquals(408, client.receive().status());
    client.send(request.substring(40));
    assertNull(fixture.backend.received.poll(500, TimeUnit.MILLISECONDS));
    assertEquals(200, fixture.client().ask(TestRequests.get("next", 3000)).status());
    assertEquals("next", TestQueues.next(fixture.backend.received).header("Request-Id"));
  }

  /**
   * A client sends requests with bodies behind one with which its connection ends. They are dropped
   * with the connection; kept in the account of held bytes, they would add up until all requests
   * are rejected for lack of memory.
   */
  @Test
  void requestsBehindAnEndReleaseTheirMemory() throws Exception {
    fixture.start();
    fixture.backend.responder =
        (request, out) -> {
          // Until what is behind the request has been read.
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(150));
          return TextStreams.write(out, FakeBackend.OK_RESPONSE);
        };
    String last = TestRequests.get("last", 3000).replace("X-Plan", "Connection: close\r\nX-Plan");
    String behind = TestRequests.post("behind", "x".repeat(64_000)).repeat(15);
    for (int i = 0; i < 12; i++) {
      TestClient client = fixture.client();
      client.send(last.replace("last", "last" + i) + behind);
      assertEquals(200, client.receive().status());
      client.close();
    }
    assertEquals(200, fixture.client().ask(TestRequests.get("next", 3000)).status());
  }

  /**
   * A client sends 200 requests at once on one connection, which would all be kept in memory. Those
   * within the limit are answered, and then the connection ends.
   */
  @Test
  void pipelinedRequestsBeyondTheLimitGetNoResponse() throws Exception {
    fixture.start();
    StringBuilder flood = new StringBuilder();
    for (int i = 0; i < 200; i++) {
      flood.append(TestRequests.get("r" + i, 3000));
    }
    TestClient client = fixture.client();
    client.send(flood.toString());
    int answers = 0;
    try {
      while (client.receive().status() == 200) {
        answers++;
      }
    } catch (IOException e) {
      // The end of the connection.
    }
    assertTrue(answers > 0 && answers < 200, "answers: " + answers);
  }
}
