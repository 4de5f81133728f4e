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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.config.ResourceLimits;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
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

  /** Descriptors run out without a bound; over it one connection is refused, not all of them. */
  @Test
  void oneConnectionTooManyIsRefusedAndTheOthersAreServed() throws Exception {
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

  /** Clients that ask once and keep their connection for good must not lock others out. */
  @Test
  void aCrowdThatAsksOnceAndStaysLocksNobodyOut() throws Exception {
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
   * Clients and backends share one table: whichever side needs more gets it, and never both
   * together.
   */
  @Test
  void clientsAndBackendsNeverHoldMoreThanThereIs() {
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
   * A loop never again runs a task that has thrown: the others would hold their places for good.
   */
  @Test
  void theOverdueAreEndedThoughOneConnectionFails() throws Exception {
    GatewayServer door = fixture.start();
    TestClient silent = fixture.client();
    FailingChannel failing =
        door.loop
            .submit(
                () -> {
                  FailingChannel channel = new FailingChannel();
                  door.clients().adopt(channel);
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

  @Test
  void aTrickleDoesNotExtendTheTimeForARequest() throws Exception {
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

  @Test
  void aConnectionThatSaysNothingIsEnded() throws Exception {
    fixture.start();
    long from = System.nanoTime();
    assertTrue(fixture.client().ended());
    assertTrue(System.nanoTime() - from < OWED_NANOS);
  }

  /**
   * The second request in the body must reach no backend, whichever of the two lengths is gone by.
   */
  @Test
  void whatCanBeFramedInTwoWaysIsRefusedAndTheConnectionEnds() throws Exception {
    fixture.start();
    String hidden = TestRequests.get("hidden", 3000);
    String post = TestRequests.post("r1", "");
    for (String bad :
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
      client.send(bad);
      assertEquals(400, client.receive().status(), bad);
      client.socket.shutdownOutput();
      assertTrue(client.ended(), bad);
    }
    assertEquals(200, fixture.client().ask(TestRequests.get("r2", 3000)).status());
    assertEquals("r2", TestQueues.next(fixture.backend.received).header("Request-Id"));
    assertNull(fixture.backend.received.poll());
  }

  /**
   * A value out of range, in whomever's name, is no request: neither a backend nor a count hears of
   * it.
   */
  @Test
  void valuesOutOfRangeReachNeitherBackendNorCounter() throws Exception {
    fixture.start();
    String good = TestRequests.get("r1", 3000);
    TestClient client = fixture.client();
    for (String bad :
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
      assertEquals(400, client.ask(bad).status(), bad);
    }
    assertEquals(200, client.ask(good).status());
    assertTrue(TestQueues.next(fixture.counter.calls).startsWith("incr "));
    assertNull(fixture.counter.calls.poll());
    TestQueues.next(fixture.backend.received);
    assertNull(fixture.backend.received.poll());
  }

  @Test
  void aHugeBodyGetsItsErrorBeforeItHasCome() throws Exception {
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
      // The front door has ended the connection, which tells the client as well as the error does.
    }
    assertEquals(200, fixture.client().ask(TestRequests.get("r2", 3000)).status());
    assertEquals(
        "r2",
        TestQueues.next(fixture.backend.received).header("Request-Id"),
        "none came whole before");
  }

  /** More requests at once than are kept: those kept are answered, and the connection ends. */
  @Test
  void aFloodOnOneConnectionIsBounded() throws Exception {
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
