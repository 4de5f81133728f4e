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

/**
 * Tests uploads to a backend that takes them slowly or not at all. The client may have written all
 * of its request, and its time of 3 s counts from then, though the gateway has not read the rest.
 */
@Timeout(30)
class StalledUploadTest {

  private static final int BODY_BYTES = 600_000;
  private static final int PIECE_BYTES = 16 * 1024;
  private static final int HALF_OF_TIMEOUT_MS = 1_500;
  private static final int TIMEOUT_MS = 3_000;

  private EmbeddedGateway gateway;
  private PausableChannel client;
  private int sentBytes;

  @BeforeEach
  void startUpload() throws Exception {
    gateway = new EmbeddedGateway();
    client = gateway.connectClient();
    String head = TestRequests.post("r1", "").replace("Length: 0", "Length: " + BODY_BYTES);
    EmbeddedGateway.send(client, head + "x".repeat(PIECE_BYTES));
    sentBytes = PIECE_BYTES;
    sendWhileRead();
  }

  @AfterEach
  void close() throws Exception {
    gateway.close();
  }

  private PausableChannel backend() {
    return gateway.backends.get(0);
  }

  /** Sends the body as far as the gateway reads it; the rest waits in the kernels' buffers. */
  private void sendWhileRead() {
    while (sentBytes < BODY_BYTES && client.isActive() && client.config().isAutoRead()) {
      int bytes = Math.min(PIECE_BYTES, BODY_BYTES - sentBytes);
      EmbeddedGateway.send(client, "x".repeat(bytes));
      sentBytes += bytes;
      if (!gateway.backends.isEmpty()) {
        backend().pause();
      }
    }
  }

  private void takeBodyAfterOneSecond() {
    gateway.advance(1_000);
    backend().resume();
    while (sentBytes < BODY_BYTES) {
      sendWhileRead();
      backend().resume();
    }
  }

  /**
   * The backend hangs. No timeout ran before the last byte had been read, so the client got no
   * response while the backend hung. Rejected in the first half of its time, it can go elsewhere.
   */
  @Test
  void uploadIsRejectedInTimeIfItsBackendHangs() {
    gateway.advance(HALF_OF_TIMEOUT_MS);
    assertTrue(client.readAllOutbound().startsWith("HTTP/1.1 503"), "no answer in time");
    assertFalse(backend().isActive(), "the attempt goes on");
  }

  /** The backend takes a little now and then, so that it never hangs for long. */
  @Test
  void uploadIsRejectedInTimeIfItsBackendIsSlow() {
    StringBuilder answer = new StringBuilder();
    int sentBytesBeforeAnswer = sentBytes;
    for (int ms = 0; ms < TIMEOUT_MS && answer.isEmpty(); ms += 300) {
      sentBytesBeforeAnswer = sentBytes;
      gateway.advance(300);
      backend().resume();
      backend().releaseOutbound();
      sendWhileRead();
      answer.append(client.readAllOutbound());
    }
    assertTrue(answer.toString().startsWith("HTTP/1.1 503"), "no answer in time");
    assertTrue(sentBytesBeforeAnswer < BODY_BYTES);
  }

  /** The backend hung for a second and took the rest at once: that second is not given again. */
  @Test
  void timeForWhichTheBodyWaitedIsNotGivenAgain() {
    takeBodyAfterOneSecond();
    assertTrue(gateway.path.driver().isActive("r1"));
    gateway.advance(TIMEOUT_MS - 1_000);
    assertTrue(client.readAllOutbound().startsWith("HTTP/1.1 502"), "no answer in time");
  }

  /** A hang shorter than the limit costs the client nothing but the time. */
  @Test
  void uploadIsServedAfterAShortHang() {
    takeBodyAfterOneSecond();
    EmbeddedGateway.send(backend(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assertTrue(client.readAllOutbound().startsWith("HTTP/1.1 200"));
    assertEquals(1, gateway.backends.size());
  }
}
