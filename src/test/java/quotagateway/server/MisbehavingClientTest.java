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
import quotagateway.testing.Peers;
import quotagateway.testing.Peers.Client;
import quotagateway.testing.Peers.Message;
import quotagateway.transport.ConnectionBudget;

/** Clients that hold connections, never finish, or send what could be read in two ways. */
@Timeout(40)
class MisbehavingClientTest {

  private static final long OWED_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final int PLACES =
      new ConnectionBudget(ResourceLimits.of(Peers.FEW_SOCKETS, 128, 1).connections())
          .maxClientConnections();

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /**
   * Without a bound on connections a crowd takes all descriptors, and nobody is served any more.
   * Over the bound one connection is rejected with a 503 and closed; those within it keep working.
   */
  @Test
  void connectionOverTheBudgetIsRejectedWhileTheOthersAreServed() throws Exception {
    peers.start(peers.smallConfig());
    String request = Peers.get("r1", 3000);
    Client taken;
    Client tooMany;
    int n = 0;
    do {
      // Again if the machine stood still: those that send no whole request may be ended after a
      // while.
      for (int i = 1; i < PLACES; i++) {
        peers.client().send(request.substring(0, 20));
      }
      taken = peers.client();
      taken.send(request.substring(0, 20));
      tooMany = peers.client();
    } while (tooMany.ask(Peers.get("t" + n++, 3000)).status() != 503);
    assertTrue(tooMany.ended());
    assertEquals(200, taken.ask(request.substring(20)).status());
  }

  /**
   * Clients send one request each and keep their connection for good. Twice as many as there are
   * places connect one after another: each is served, as connections end with their responses when
   * places get scarce.
   */
  @Test
  void clientsThatKeepIdleConnectionsAreEvictedForNewOnes() throws Exception {
    peers.start(peers.smallConfig());
    assertNull(peers.client().ask(Peers.get("first", 3000)).header("Connection"));
    Message answer = null;
    for (int i = 0; i < 2 * PLACES; i++) {
      answer = peers.client().ask(Peers.get("r" + i, 3000));
      assertEquals(200, answer.status());
    }
    assertEquals("close", answer.header("Connection"));
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
    GatewayServer gateway = peers.start();
    Client silent = peers.client();
    FailingChannel failing =
        gateway
            .loop
            .submit(
                () -> {
                  FailingChannel channel = new FailingChannel();
                  gateway.clients().adopt(channel);
                  channel.writeInbound(
                      Unpooled.copiedBuffer(
                          Peers.post("r1", "body").replace("body", "b"),
                          StandardCharsets.ISO_8859_1));
                  channel.fails = true;
                  return channel;
                })
            .sync()
            .getNow();
    assertTrue(failing.asked.await(10, TimeUnit.SECONDS));
    assertTrue(silent.ended());
    assertEquals(200, peers.client().ask(Peers.get("r2", 3000)).status());
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
    peers.start();
    Client client = peers.client();
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
    peers.start();
    long from = System.nanoTime();
    assertTrue(peers.client().ended());
    assertTrue(System.nanoTime() - from < OWED_NANOS);
  }

  /**
   * Request smuggling: two lengths, or an odd one, let one reader see a second request in what is a
   * body to another. Such a request gets a 400 and the connection ends; the hidden one reaches no
   * backend.
   */
  @Test
  void requestWithAmbiguousFramingIsRejectedAndTheConnectionCloses() throws Exception {
    peers.start();
    String hidden = Peers.get("hidden", 3000);
    String post = Peers.post("r1", "");
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
      Client client = peers.client();
      client.send(invalid);
      assertEquals(400, client.receive().status(), invalid);
      client.socket.shutdownOutput();
      assertTrue(client.ended(), invalid);
    }
    assertEquals(200, peers.client().ask(Peers.get("r2", 3000)).status());
    assertEquals("r2", Peers.next(peers.atBackend).header("Request-Id"));
    assertNull(peers.atBackend.poll());
  }

  /**
   * A value out of range, in whomever's name, is no request: a customer's account would move by
   * what another one sent. It gets a 400, and neither a backend nor the counter hears of it.
   */
  @Test
  void headerValuesOutOfRangeReachNeitherBackendNorCounter() throws Exception {
    peers.start();
    String good = Peers.get("r1", 3000);
    Client client = peers.client();
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
    assertTrue(Peers.next(peers.atCounter).startsWith("incr "));
    assertNull(peers.atCounter.poll());
    Peers.next(peers.atBackend);
    assertNull(peers.atBackend.poll());
  }

  /**
   * A client announces 60 MB, or sends as much in chunks. It gets its error, or a close, before the
   * body has come; nothing of it is executed, and other clients are served.
   */
  @Test
  void bodyOverTheLimitIsAnsweredWith413BeforeItHasCome() throws Exception {
    peers.start();
    Client client = peers.client();
    client.send(Peers.post("r1", "").replace("Content-Length: 0", "Content-Length: 60000000"));
    assertEquals(413, client.receive().status());
    Client chunked = peers.client();
    chunked.send(Peers.post("cut", "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
    String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
    try {
      for (int i = 0; i < 2_000; i++) {
        chunked.send(chunk);
      }
    } catch (SocketException e) {
      // The gateway has closed the connection, which the client sees as well as the error.
    }
    assertEquals(200, peers.client().ask(Peers.get("r2", 3000)).status());
    assertEquals("r2", Peers.next(peers.atBackend).header("Request-Id"), "none came whole before");
  }

  /**
   * A client sends 200 requests at once on one connection, which would all be kept in memory. Those
   * within the limit are answered, and then the connection ends.
   */
  @Test
  void pipelinedRequestsBeyondTheLimitGetNoResponse() throws Exception {
    peers.start();
    StringBuilder flood = new StringBuilder();
    for (int i = 0; i < 200; i++) {
      flood.append(Peers.get("r" + i, 3000));
    }
    Client client = peers.client();
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
