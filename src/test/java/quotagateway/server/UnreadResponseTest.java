package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.StringUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.PausableChannel;
import quotagateway.testing.TestRequests;

/**
 * Tests that no end of a connection drops the part of a response that its client's socket has not
 * taken yet.
 */
@Timeout(30)
class UnreadResponseTest {

  private static final int LARGE_BYTES = 100_000;
  private static final String LARGE_RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n" + "x".repeat(LARGE_BYTES);
  private static final String SMALL_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsmall";

  /** Longer than the gateway keeps an idle connection, shorter than it waits for a client. */
  private static final long UNREAD_MS = 12_000;

  /** Longer than the gateway waits for a client that reads nothing. */
  private static final long STALLED_MS = 31_000;

  private EmbeddedGateway gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new EmbeddedGateway();
  }

  @AfterEach
  void close() throws Exception {
    gateway.close();
  }

  /** Lets the backend finish a response whose end waits for the client's socket. */
  private PausableChannel startUnreadResponse(String response) {
    PausableChannel client = gateway.connectClient();
    EmbeddedGateway.send(client, TestRequests.get("r1", 3000));
    client.pause();
    EmbeddedGateway.send(gateway.backends.get(0), response);
    assertEquals(0, gateway.path.driver().activeRequestCount());
    return client;
  }

  private static void assertReads(PausableChannel client, String body) {
    client.resume();
    String received = client.readAllOutbound();
    assertTrue(received.endsWith("\r\n\r\n" + body), received.length() + " bytes were received");
  }

  /**
   * The backend has sent all of a streamed response, and the client reads the end slowly. The
   * connection counted as idle, so the drain closed it and cut the response off.
   */
  @Test
  void drainDoesNotCutOffUnreadEndOfStreamedResponse() {
    PausableChannel client = startUnreadResponse(LARGE_RESPONSE);
    gateway.lifecycle.drain();
    gateway.advance(2_000);
    assertReads(client, "x".repeat(LARGE_BYTES));
    gateway.advance(2_000);
    assertFalse(client.isOpen(), "a drained connection stays open");
  }

  /** The same for a connection that is idle for long, without a drain. */
  @Test
  void idleTimeDoesNotCutOffUnreadResponse() {
    PausableChannel client = startUnreadResponse(SMALL_RESPONSE);
    gateway.advance(UNREAD_MS);
    assertReads(client, "small");
    gateway.advance(UNREAD_MS);
    assertFalse(client.isOpen(), "an idle connection stays open");
  }

  /** The same for a connection whose place another client needs. */
  @Test
  void evictionDoesNotCutOffUnreadResponse() throws Exception {
    gateway.close();
    gateway = new EmbeddedGateway("{\"cores\":1,\"memory_mb\":128,\"sockets\":16}");
    PausableChannel client = startUnreadResponse(LARGE_RESPONSE);
    gateway.advance(3_000);
    for (int i = 0; i < 16; i++) {
      gateway.connectClient();
    }
    assertReads(client, "x".repeat(LARGE_BYTES));
  }

  /** The same at the end of a shutdown, where the client has begun its next request. */
  @Test
  void shutdownDoesNotCutOffUnreadResponseOfClientThatGoesOnSending() {
    PausableChannel client = startUnreadResponse(SMALL_RESPONSE);
    EmbeddedGateway.send(client, "GET /quo");
    gateway.lifecycle.shutDown();
    gateway.path.clients().shutDown();
    gateway.advance(2_000);
    client.resume();
    String received = client.readAllOutbound();
    assertTrue(received.contains("\r\n\r\nsmallHTTP/1.1 503"), received);
    gateway.advance(1_000);
    assertFalse(client.isOpen(), "the connection stays open after its last response");
  }

  /** A client that never reads its last response must not hold the connection forever. */
  @Test
  void closingConnectionIsResetIfItsClientDoesNotRead() {
    PausableChannel client = gateway.connectClient();
    EmbeddedGateway.send(client, TestRequests.get("r1", 3000));
    client.pause();
    gateway.lifecycle.drain();
    EmbeddedGateway.send(gateway.backends.get(0), SMALL_RESPONSE);
    gateway.advance(2_000);
    assertTrue(client.isOpen(), "the response was cut off");
    gateway.advance(STALLED_MS);
    assertFalse(client.isOpen(), "a client that does not read holds its connection");
  }

  /**
   * Memory is exhausted while a client receives a response and sends its next request in parts. The
   * error for that request got into the middle of the response.
   */
  @Test
  void exhaustedMemoryDoesNotCutOffResponseBeforePipelinedRequest() throws Exception {
    gateway.close();
    // A sixteenth of the memory is for what is received of requests.
    gateway = new EmbeddedGateway("{\"cores\":1,\"memory_mb\":4,\"sockets\":1024}");
    PausableChannel client = gateway.connectClient();
    EmbeddedGateway.send(client, TestRequests.get("r1", 3000));
    PausableChannel backend = gateway.backends.get(0);
    int half = LARGE_RESPONSE.length() / 2;
    EmbeddedGateway.send(backend, LARGE_RESPONSE.substring(0, half));
    for (int i = 0; i < 20; i++) {
      PausableChannel other = gateway.connectClient();
      EmbeddedGateway.send(other, TestRequests.post("p" + i, "").replace("th: 0", "th: 60000"));
      EmbeddedGateway.send(other, "x".repeat(16_000));
    }
    EmbeddedGateway.send(client, "GET /quo");
    EmbeddedGateway.send(client, "te/17 HTTP/1.1\r\n");
    gateway.advance(1_000);
    EmbeddedGateway.send(backend, LARGE_RESPONSE.substring(half));
    String received = client.readAllOutbound();
    assertTrue(
        received.endsWith("\r\n\r\n" + "x".repeat(LARGE_BYTES)),
        received.replaceAll("x{9,}", "x") + StringUtil.NEWLINE + received.length() + " bytes");
    gateway.advance(1_000);
    assertFalse(client.isOpen(), "the unanswered request was not ended by a close");
  }
}
