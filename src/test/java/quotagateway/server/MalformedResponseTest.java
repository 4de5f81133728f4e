package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/** Tests malformed responses, and valid responses that are followed by surplus bytes. */
@Timeout(30)
class MalformedResponseTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static String okResponse(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /**
   * A backend sends surplus bytes after its response: a second copy, garbage, or part of a status
   * line. If these were treated as the response to the next request on the connection, the wrong
   * client would receive it.
   */
  @Test
  void surplusBytesAreNotUsedAsTheNextResponse() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    int requestNumber = 0;
    for (String surplus :
        new String[] {
          okResponse("stale"),
          okResponse("stale") + okResponse("stale"),
          "noise",
          "\u0001\u0002",
          okResponse("stale").substring(0, 20),
          "HTTP/1.1 2x0 OK\r\n\r\n"
        }) {
      String id = "r" + requestNumber++;
      fixture.backend.responder =
          (request, out) ->
              TextStreams.write(out, okResponse(request.header("Request-Id")) + surplus);
      assertEquals(id, client.exchange(TestRequests.get(id, 3000)).text());
      fixture.backend.responder =
          (request, out) -> TextStreams.write(out, okResponse(request.header("Request-Id")));
      assertEquals(id + "next", client.exchange(TestRequests.get(id + "next", 3000)).text());
    }
  }

  /** A second copy of the response arrives in a separate segment just after the response. */
  @Test
  void secondCopyInSeparateSegmentIsNotUsedAsTheNextResponse() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    fixture.backend.responder =
        (request, out) ->
            TextStreams.write(out, okResponse(request.header("Request-Id")))
                && TextStreams.write(out, okResponse("stale"));
    for (int i = 0; i < 50; i++) {
      assertEquals("r" + i, client.exchange(TestRequests.get("r" + i, 3000)).text());
    }
  }

  /**
   * Bytes that do not form a complete response follow a response. If the connection were reused,
   * they would corrupt the next response, and its request would need a retry.
   */
  @Test
  void connectionWithSurplusBytesIsNotReused() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    fixture.backend.responder =
        (request, out) -> TextStreams.write(out, okResponse("first") + "noise");
    assertEquals("first", client.exchange(TestRequests.get("r1", 3000)).text());
    fixture.backend.responder = (request, out) -> TextStreams.write(out, okResponse("second"));
    TimeUnit.MILLISECONDS.sleep(50);
    assertEquals("second", client.exchange(TestRequests.get("r2", 3000)).text());
    assertEquals(2, fixture.backend.received.size(), "each request takes one attempt");
  }

  @Test
  void informationalResponsesAreSkipped() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    int requestNumber = 0;
    for (String informational :
        new String[] {
          "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
          "HTTP/1.1 101 Switching Protocols\r\n\r\n",
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
        }) {
      AtomicInteger attempts = new AtomicInteger();
      fixture.backend.responder =
          (request, out) -> {
            attempts.incrementAndGet();
            return TextStreams.write(out, informational + informational + okResponse("fine"));
          };
      assertEquals("fine", client.exchange(TestRequests.get("r" + requestNumber++, 3000)).text());
      assertEquals(1, attempts.get(), informational);
    }
  }

  /**
   * A response cannot be parsed or ends prematurely. It is not forwarded, and the policy retries
   * the request immediately instead of waiting.
   */
  @Test
  void malformedResponseFailsTheAttemptAndIsRetriedImmediately() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    int requestNumber = 0;
    for (String malformed :
        new String[] {
          "\u0001\u0002\u0003noise\r\n\r\n",
          "HTTP/1.1 2x0 OK\r\n\r\nno",
          "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nno",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nnoise",
          "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nno",
          "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nno",
          "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nno",
          "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nno",
          "HTTP/1.1 200 OK\r\n\r\nno end is told",
          "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ntoo short",
          "HTTP/1.1 200 OK\r\nContent-Le",
          "HTTP/1.1 200 OK\r\n" + "X-Pad: pppppppppp\r\n".repeat(1_000)
        }) {
      AtomicInteger attempts = new AtomicInteger();
      fixture.backend.responder =
          (request, out) ->
              TextStreams.write(
                  out, attempts.incrementAndGet() == 1 ? malformed : FakeBackend.OK_RESPONSE);
      long startNanos = System.nanoTime();
      assertEquals(
          "fine", client.exchange(TestRequests.get("r" + requestNumber++, 3900)).text(), malformed);
      assertEquals(2, attempts.get(), malformed);
      assertTrue(System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(900), malformed);
      for (int i = 0; i < 8; i++) {
        // First attempts earn the budget for the next retry.
        assertEquals(
            200, client.exchange(TestRequests.get("g" + requestNumber + "-" + i, 3900)).status());
      }
    }
  }

  /**
   * Idle connections repeatedly turn out to be closed by the backend at their next request. Each
   * costs one attempt without using up the retry budget, so that all requests are served.
   */
  @Test
  void closedIdleConnectionsDoNotFailRequests() throws Exception {
    int port =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  HttpMessage.read(in);
                  TextStreams.write(out, FakeBackend.OK_RESPONSE);
                  HttpMessage.read(in);
                  socket.close();
                })
            .port();
    fixture.start(fixture.config(EndpointListJson.entry("s-1", port, "active")));
    TestClient client = fixture.client();
    for (int i = 0; i < 60; i++) {
      assertEquals(200, client.exchange(TestRequests.get("r" + i, 3000)).status());
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  /**
   * A backend sends an X-Units-Charged header that cannot be parsed. The charge is unknown rather
   * than 0, so the customer's account keeps the estimate.
   */
  @Test
  void unparsableChargedUnitsLeaveTheEstimateInPlace() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    for (String units : new String[] {"%%%", "-3", "NaN", "1e999", ""}) {
      fixture.backend.responder =
          (request, out) ->
              TextStreams.write(
                  out,
                  FakeBackend.OK_RESPONSE.replace(
                      "X-Units-Charged: 2", "X-Units-Charged: " + units));
      assertEquals(
          200,
          client
              .exchange(TestRequests.get("r" + units.length() + units.hashCode(), 3000))
              .status());
      assertTrue(TestQueues.next(fixture.counter.calls).matches("incr \\S+ 2 .*"), units);
    }
  }
}
