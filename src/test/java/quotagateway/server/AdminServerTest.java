package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/**
 * Tests the operators' calls: their effects, and their responses regardless of what clients and
 * other callers do.
 */
@Timeout(30)
class AdminServerTest {

  /** Well below the 300 ms for which a connection lingers. */
  private static final long MAX_SEND_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  @Test
  void drainAndUndrainTakeEffectWithoutARestart() throws Exception {
    fixture.start();
    assertEquals(200, fixture.operator("GET /ready"));
    TestClient idleClient = fixture.client();
    assertEquals(200, idleClient.exchange(TestRequests.get("r1", 3000)).status());
    assertEquals(200, fixture.operator("POST /drain"));
    assertEquals(503, fixture.client().exchange(READINESS_REQUEST).status());
    assertEquals(503, fixture.operator("GET /ready"));
    assertTrue(idleClient.isClosedByPeer(), "the idle connection was not closed");
    assertEquals(
        "close", fixture.client().exchange(TestRequests.get("late", 3000)).header("Connection"));
    assertEquals(200, fixture.operator("POST /drain"), "a repeated call was not accepted");
    assertEquals(200, fixture.operator("POST /undrain"));
    TestClient client = fixture.client();
    assertEquals(200, client.exchange(READINESS_REQUEST).status());
    assertEquals(200, client.exchange(TestRequests.get("r2", 3000)).status());
    assertEquals(200, client.exchange(TestRequests.get("r3", 3000)).status());
  }

  private void respondAfter(CountDownLatch drained) {
    fixture.backend.responder =
        (request, out) -> {
          try {
            drained.await();
          } catch (InterruptedException e) {
            return false;
          }
          return TextStreams.write(out, FakeBackend.OK_RESPONSE);
        };
  }

  /** An operator drains while a request is open. Its connection is closed after its response. */
  @Test
  void openRequestGetsItsResponseWhileDraining() throws Exception {
    fixture.start();
    CountDownLatch drained = new CountDownLatch(1);
    respondAfter(drained);
    TestClient busyClient = fixture.client();
    busyClient.send(TestRequests.get("r1", 4000));
    TestQueues.next(fixture.backend.received);
    TestClient idleClient = fixture.client();
    idleClient.exchange(READINESS_REQUEST);
    assertEquals(200, fixture.operator("POST /drain"));
    assertTrue(idleClient.isClosedByPeer());
    drained.countDown();
    assertEquals(200, busyClient.receive().status());
    assertTrue(busyClient.isClosedByPeer());
  }

  /**
   * An operator drains while a client has three pipelined requests. All were accepted, so only the
   * last response closes the connection.
   */
  @Test
  void pipelinedRequestsGetTheirResponsesWhileDraining() throws Exception {
    fixture.start();
    CountDownLatch drained = new CountDownLatch(1);
    respondAfter(drained);
    TestClient busyClient = fixture.client();
    busyClient.send(
        TestRequests.get("r1", 4000) + TestRequests.get("r2", 4000) + TestRequests.get("r3", 4000));
    TestQueues.next(fixture.backend.received);
    assertEquals(200, fixture.operator("POST /drain"));
    drained.countDown();
    assertNull(busyClient.receive().header("Connection"));
    assertNull(busyClient.receive().header("Connection"));
    assertEquals("close", busyClient.receive().header("Connection"));
    assertTrue(busyClient.isClosedByPeer());
  }

  /**
   * A client has sent part of its next request when the last response closes its connection. The
   * bytes that the client still sends must not cause a reset, which could discard a response that
   * the client has not read yet.
   */
  @Test
  void connectionLingersAfterLastResponseDespitePartialRequest() throws Exception {
    fixture.start();
    assertEquals(200, fixture.operator("POST /drain"));
    String next = TestRequests.get("next", 3000);
    boolean inTime = false;
    for (int requestNumber = 0; !inTime; requestNumber++) {
      TestClient client = fixture.client();
      client.send(TestRequests.get("last" + requestNumber, 3000) + next.substring(0, 20));
      assertEquals("close", client.receive().header("Connection"));
      assertTrue(client.isClosedByPeer());
      long endedNanos = System.nanoTime();
      boolean sent = sendsTwice(client, next.substring(20));
      // Repeats if the machine stalled: the connection lingers for a limited time only.
      inTime = System.nanoTime() - endedNanos < MAX_SEND_DELAY_NANOS;
      assertTrue(sent || !inTime, "the connection was reset");
    }
  }

  /**
   * Returns whether a second write succeeds. If the first write caused a reset, it has arrived by
   * then.
   */
  private static boolean sendsTwice(TestClient client, String text) {
    try {
      client.send(text);
      client.send(text);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Operators must be able to drain even if client load blocks the clients' event loop. */
  @Test
  void callsAreAnsweredWhileTheClientEventLoopIsBlocked() throws Exception {
    GatewayServer gateway = fixture.start();
    CountDownLatch unblocked = new CountDownLatch(1);
    gateway.eventLoop.execute(
        () -> {
          try {
            unblocked.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    assertEquals(200, fixture.operator("GET /ready"));
    assertEquals(200, fixture.operator("POST /drain"));
    unblocked.countDown();
    assertEquals(503, fixture.client().exchange(READINESS_REQUEST).status());
  }

  /**
   * Fifty callers send half a call each. Their connections are closed, and operators are still
   * served.
   */
  @Test
  void incompleteCallsAreClosedAndDoNotBlockOperators() throws Exception {
    fixture.start();
    List<TestClient> incompleteCallers = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      TestClient caller = fixture.operator();
      caller.send("POST /dra");
      incompleteCallers.add(caller);
    }
    assertEquals(200, fixture.operator("GET /ready"));
    for (TestClient caller : incompleteCallers) {
      assertTrue(caller.isClosedByPeer());
    }
    assertEquals(
        200,
        fixture.client().exchange(READINESS_REQUEST).status(),
        "an incomplete call was carried out");
  }

  /**
   * A second call arrives in the same read as the first, whose response closes the connection. If
   * the second call were carried out without a response, the gateway would drain although its
   * operator has to assume that the call had no effect.
   */
  @Test
  void pipelinedCallIsNotCarriedOut() throws Exception {
    fixture.start();
    TestClient caller = fixture.operator();
    caller.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\nPOST /drain HTTP/1.1\r\nHost: x\r\n\r\n");
    assertEquals(200, caller.receive().status());
    assertTrue(caller.isClosedByPeer());
    assertEquals(200, fixture.operator("GET /ready"));
  }

  @Test
  void unknownPathsAndMethodsAreRejected() throws Exception {
    fixture.start();
    assertEquals(404, fixture.operator("GET /up"));
    assertEquals(405, fixture.operator("GET /drain"));
    assertEquals(405, fixture.operator("POST /ready"));
    assertEquals(
        200,
        fixture.operator("POST http://127.0.0.1/undrain"),
        "undrain of a serving gateway was not accepted");
    assertEquals(200, fixture.client().exchange(READINESS_REQUEST).status());
  }

  /** A client sends an operator's call to the client address. It must not drain the gateway. */
  @Test
  void clientsCannotDrain() throws Exception {
    fixture.start();
    fixture.client().exchange("POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    assertEquals(200, fixture.operator("GET /ready"));
  }
}
