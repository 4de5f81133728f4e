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

/** What operators get, whatever clients and other callers do; and what their calls change. */
@Timeout(30)
class AdminServerTest {

  /** Well under the time for which a connection lingers. */
  private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  @Test
  void drainAndUndrainTakeEffectWithoutARestart() throws Exception {
    fixture.start();
    assertEquals(200, fixture.operator("GET /ready"));
    TestClient kept = fixture.client();
    assertEquals(200, kept.ask(TestRequests.get("r1", 3000)).status());
    assertEquals(200, fixture.operator("POST /drain"));
    assertEquals(503, fixture.client().ask(UP).status());
    assertEquals(503, fixture.operator("GET /ready"));
    assertTrue(kept.ended(), "a connection with no request on it is not kept");
    assertEquals(
        "close", fixture.client().ask(TestRequests.get("late", 3000)).header("Connection"));
    assertEquals(200, fixture.operator("POST /drain"), "a second call asks for nothing more");
    assertEquals(200, fixture.operator("POST /undrain"));
    TestClient back = fixture.client();
    assertEquals(200, back.ask(UP).status());
    assertEquals(200, back.ask(TestRequests.get("r2", 3000)).status());
    assertEquals(200, back.ask(TestRequests.get("r3", 3000)).status());
  }

  private void answerAfter(CountDownLatch drained) {
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

  /** An operator drains while a request is open: its connection ends with its response. */
  @Test
  void openRequestGetsItsResponseWhileDraining() throws Exception {
    fixture.start();
    CountDownLatch drained = new CountDownLatch(1);
    answerAfter(drained);
    TestClient busy = fixture.client();
    busy.send(TestRequests.get("r1", 4000));
    TestQueues.next(fixture.backend.received);
    TestClient idle = fixture.client();
    idle.ask(UP);
    assertEquals(200, fixture.operator("POST /drain"));
    assertTrue(idle.ended());
    drained.countDown();
    assertEquals(200, busy.receive().status());
    assertTrue(busy.ended());
  }

  /**
   * An operator drains while a client has three pipelined requests. All were accepted, so only the
   * last response ends the connection.
   */
  @Test
  void pipelinedRequestsGetTheirResponsesWhileDraining() throws Exception {
    fixture.start();
    CountDownLatch drained = new CountDownLatch(1);
    answerAfter(drained);
    TestClient busy = fixture.client();
    busy.send(
        TestRequests.get("r1", 4000) + TestRequests.get("r2", 4000) + TestRequests.get("r3", 4000));
    TestQueues.next(fixture.backend.received);
    assertEquals(200, fixture.operator("POST /drain"));
    drained.countDown();
    assertNull(busy.receive().header("Connection"));
    assertNull(busy.receive().header("Connection"));
    assertEquals("close", busy.receive().header("Connection"));
    assertTrue(busy.ended());
  }

  /**
   * A client has sent part of its next request when its last response ends the connection. What it
   * goes on sending must not be met by a reset, which may cost it the response that it has not read
   * yet.
   */
  @Test
  void connectionLingersBehindItsLastResponseUnderAHalfReceivedRequest() throws Exception {
    fixture.start();
    assertEquals(200, fixture.operator("POST /drain"));
    String next = TestRequests.get("next", 3000);
    boolean inTime = false;
    for (int n = 0; !inTime; n++) {
      TestClient client = fixture.client();
      client.send(TestRequests.get("last" + n, 3000) + next.substring(0, 20));
      assertEquals("close", client.receive().header("Connection"));
      assertTrue(client.ended());
      long endedNanos = System.nanoTime();
      boolean taken = sendsTwice(client, next.substring(20));
      // Again if the machine stood still: the connection lingers for a limited time.
      inTime = System.nanoTime() - endedNanos < LINGER_NANOS;
      assertTrue(taken || !inTime, "the connection was reset");
    }
  }

  /** Whether a second write succeeds: the first one's reset, if there is one, has come by then. */
  private static boolean sendsTwice(TestClient client, String text) {
    try {
      client.send(text);
      client.send(text);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Clients' load has stopped their event loop: operators must still be able to drain. */
  @Test
  void callsAreAnsweredWhileTheEventLoopOfClientsIsBlocked() throws Exception {
    GatewayServer gateway = fixture.start();
    CountDownLatch go = new CountDownLatch(1);
    gateway.loop.execute(
        () -> {
          try {
            go.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    assertEquals(200, fixture.operator("GET /ready"));
    assertEquals(200, fixture.operator("POST /drain"));
    go.countDown();
    assertEquals(503, fixture.client().ask(UP).status());
  }

  /** Fifty callers send half a call each: they are closed, and none keeps an operator out. */
  @Test
  void incompleteCallsAreClosedAndKeepNobodyOut() throws Exception {
    fixture.start();
    List<TestClient> silent = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      TestClient caller = fixture.operator();
      caller.send("POST /dra");
      silent.add(caller);
    }
    assertEquals(200, fixture.operator("GET /ready"));
    for (TestClient caller : silent) {
      assertTrue(caller.ended());
    }
    assertEquals(200, fixture.client().ask(UP).status(), "half a call moves nothing");
  }

  /**
   * A second call comes in one read with the first, whose response ends the connection. Carried out
   * without a response, it would drain a gateway whose operator has to take it for not called.
   */
  @Test
  void aCallBehindTheFirstIsNotCarriedOut() throws Exception {
    fixture.start();
    TestClient caller = fixture.operator();
    caller.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\nPOST /drain HTTP/1.1\r\nHost: x\r\n\r\n");
    assertEquals(200, caller.receive().status());
    assertTrue(caller.ended());
    assertEquals(200, fixture.operator("GET /ready"));
  }

  @Test
  void unknownPathsAndMethodsAreRejected() throws Exception {
    fixture.start();
    assertEquals(404, fixture.operator("GET /up"));
    assertEquals(405, fixture.operator("GET /drain"));
    assertEquals(405, fixture.operator("POST /ready"));
    assertEquals(200, fixture.operator("POST http://127.0.0.1/undrain"), "it serves already");
    assertEquals(200, fixture.client().ask(UP).status());
  }

  /** A client sends an operator's call to the clients' address; it must not drain the gateway. */
  @Test
  void clientsCannotDrain() throws Exception {
    fixture.start();
    fixture.client().ask("POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    assertEquals(200, fixture.operator("GET /ready"));
  }
}
