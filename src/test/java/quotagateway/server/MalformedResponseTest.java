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

/** Malformed responses, and good ones that are followed by more than belongs to them. */
@Timeout(30)
class MalformedResponseTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /**
   * A backend sends more than its response: a second copy, noise, part of a status line. Taken for
   * the response to the next request on that connection it would be served to the wrong client.
   */
  @Test
  void bytesBehindAResponseAreNotTheNextResponse() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    int n = 0;
    for (String behind :
        new String[] {
          ok("stale"),
          ok("stale") + ok("stale"),
          "noise",
          "\u0001\u0002",
          ok("stale").substring(0, 20),
          "HTTP/1.1 2x0 OK\r\n\r\n"
        }) {
      String id = "r" + n++;
      fixture.backend.responder =
          (request, out) -> TextStreams.write(out, ok(request.header("Request-Id")) + behind);
      assertEquals(id, client.ask(TestRequests.get(id, 3000)).text());
      fixture.backend.responder =
          (request, out) -> TextStreams.write(out, ok(request.header("Request-Id")));
      assertEquals(id + "next", client.ask(TestRequests.get(id + "next", 3000)).text());
    }
  }

  /** The same where the second copy of a response comes in a segment of its own, just behind it. */
  @Test
  void aSecondCopyJustBehindIsNotTheNextAnswer() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    fixture.backend.responder =
        (request, out) ->
            TextStreams.write(out, ok(request.header("Request-Id")))
                && TextStreams.write(out, ok("stale"));
    for (int i = 0; i < 50; i++) {
      assertEquals("r" + i, client.ask(TestRequests.get("r" + i, 3000)).text());
    }
  }

  /**
   * Bytes that are no response yet lie behind a response. On a connection that is used again they
   * would spoil the next response, and its request would need a retry.
   */
  @Test
  void connectionWithBytesBehindAResponseIsNotUsedAgain() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    fixture.backend.responder = (request, out) -> TextStreams.write(out, ok("first") + "noise");
    assertEquals("first", client.ask(TestRequests.get("r1", 3000)).text());
    fixture.backend.responder = (request, out) -> TextStreams.write(out, ok("second"));
    TimeUnit.MILLISECONDS.sleep(50);
    assertEquals("second", client.ask(TestRequests.get("r2", 3000)).text());
    assertEquals(2, fixture.backend.received.size(), "attempts of both requests");
  }

  @Test
  void informationalResponsesAreSkipped() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    int n = 0;
    for (String ahead :
        new String[] {
          "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
          "HTTP/1.1 101 Switching Protocols\r\n\r\n",
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
        }) {
      AtomicInteger asked = new AtomicInteger();
      fixture.backend.responder =
          (request, out) -> {
            asked.incrementAndGet();
            return TextStreams.write(out, ahead + ahead + ok("fine"));
          };
      assertEquals("fine", client.ask(TestRequests.get("r" + n++, 3000)).text());
      assertEquals(1, asked.get(), ahead);
    }
  }

  /**
   * A response cannot be read, or stops half way. None is served, and none holds its request for
   * long: the policy retries at once.
   */
  @Test
  void malformedResponseFailsTheAttemptAndIsRetriedAtOnce() throws Exception {
    fixture.start();
    TestClient client = fixture.client();
    int n = 0;
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
      AtomicInteger asked = new AtomicInteger();
      fixture.backend.responder =
          (request, out) ->
              TextStreams.write(
                  out, asked.incrementAndGet() == 1 ? malformed : FakeBackend.OK_RESPONSE);
      long from = System.nanoTime();
      assertEquals("fine", client.ask(TestRequests.get("r" + n++, 3900)).text(), malformed);
      assertEquals(2, asked.get(), malformed);
      assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(900), malformed);
      for (int i = 0; i < 8; i++) {
        // Earns the next retry: the policy allows so many for each first attempt.
        assertEquals(200, client.ask(TestRequests.get("g" + n + "-" + i, 3900)).status());
      }
    }
  }

  /**
   * Idle connections are dead at their next request, again and again. Each costs one attempt, and
   * not the budget of retries, so that all requests are served.
   */
  @Test
  void deadIdleConnectionsCostNoRequest() throws Exception {
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
      assertEquals(200, client.ask(TestRequests.get("r" + i, 3000)).status());
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  /**
   * A backend's figure of charged units cannot be read. It is unknown rather than 0: the customer's
   * account keeps the estimate.
   */
  @Test
  void unreadableChargedUnitsSettleNothing() throws Exception {
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
          client.ask(TestRequests.get("r" + units.length() + units.hashCode(), 3000)).status());
      assertTrue(TestQueues.next(fixture.counter.calls).matches("incr \\S+ 2 .*"), units);
    }
  }
}
