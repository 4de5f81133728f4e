package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.PausableChannel;
import quotagateway.testing.TestRequests;

/** Tests that unfinished work is ended while the heap is exhausted, by those who hold most. */
@Timeout(30)
class HeapExhaustionTest {

  private static final String HALF_HEAD = "GET /quote/17 HTTP/1.1\r\nHost: x\r\n";
  private static final long EXHAUSTED = 950;

  private EmbeddedGateway gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new EmbeddedGateway();
  }

  @AfterEach
  void close() throws Exception {
    gateway.close();
  }

  /** The virtual machine would end the process, and with it all requests. */
  @Test
  void largestUnfinishedRequestIsRejectedAndOpenOneGoesOn() {
    PausableChannel open = gateway.connectClient();
    EmbeddedGateway.send(open, TestRequests.get("open", 3000));
    PausableChannel large = gateway.connectClient();
    EmbeddedGateway.send(large, HALF_HEAD + "X-Plan: " + "x".repeat(8_000) + "\r\n");
    PausableChannel small = gateway.connectClient();
    EmbeddedGateway.send(small, HALF_HEAD);
    gateway.heap.liveBytes = EXHAUSTED;
    gateway.advance(200);
    assertTrue(large.readAllOutbound().startsWith("HTTP/1.1 503"), "the largest goes on");
    assertFalse(large.isActive());
    assertTrue(small.isActive(), "more was ended than had to be freed");
    EmbeddedGateway.send(gateway.backends.get(0), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assertTrue(open.readAllOutbound().startsWith("HTTP/1.1 200"));
  }

  /** If nothing is unfinished, open requests are ended before the process is. */
  @Test
  void openRequestIsEndedIfNothingElseCanBe() {
    PausableChannel open = gateway.connectClient();
    EmbeddedGateway.send(open, TestRequests.get("open", 3000));
    gateway.heap.liveBytes = EXHAUSTED;
    gateway.advance(200);
    assertFalse(open.isActive());
  }

  /** It was reset, so that a request that had been read got no final response. */
  @Test
  void openRequestThatIsEndedGetsItsFinalResponse() {
    PausableChannel open = gateway.connectClient();
    EmbeddedGateway.send(open, TestRequests.get("open", 3000));
    gateway.heap.liveBytes = EXHAUSTED;
    gateway.advance(200);
    assertTrue(open.readAllOutbound().startsWith("HTTP/1.1 502"));
    assertFalse(open.isActive());
  }

  @Test
  void newRequestsAreRejectedUntilTheHeapHasRoom() {
    gateway.heap.liveBytes = EXHAUSTED;
    gateway.advance(200);
    PausableChannel client = gateway.connectClient();
    EmbeddedGateway.send(client, TestRequests.get("r1", 3000));
    assertTrue(client.readAllOutbound().startsWith("HTTP/1.1 503"));
    assertEquals(0, gateway.backends.size());
    gateway.heap.liveBytes = 0;
    gateway.advance(500);
    EmbeddedGateway.send(gateway.connectClient(), TestRequests.get("r2", 3000));
    assertEquals(1, gateway.backends.size());
  }
}
