package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that records are written, and that a log that is not read holds up nobody. */
@Timeout(30)
class AsyncLogHandlerTest {

  private static LogRecord record(String message) {
    return new LogRecord(Level.INFO, message);
  }

  @Test
  void recordsAreWrittenInOrder() {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    AsyncLogHandler handler =
        new AsyncLogHandler(new PrintStream(written, true, StandardCharsets.UTF_8));
    handler.publish(record("first"));
    assertTrue(written.toString(StandardCharsets.UTF_8).contains("first"), "not by its caller");
    handler.publish(record("second"));
    handler.publish(record("third"));
    handler.close();
    String text = written.toString(StandardCharsets.UTF_8);
    assertTrue(text.indexOf("second") > text.indexOf("first"), text);
    assertTrue(text.indexOf("third") > text.indexOf("second"), text);
  }

  /** The event loop would stop with the reader of its log. */
  @Test
  void publishingDoesNotWaitForABlockedLog() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    OutputStream stopsAfterFirstRecord =
        new OutputStream() {
          private int flushes;

          @Override
          public void write(int b) {}

          @Override
          public void flush() {
            flushes++;
            if (flushes > 1) {
              blocked.countDown();
              awaitQuietly(released);
            }
          }
        };
    AsyncLogHandler handler =
        new AsyncLogHandler(new PrintStream(stopsAfterFirstRecord, false, StandardCharsets.UTF_8));
    handler.publish(record("first"));
    handler.publish(record("second"));
    blocked.await();
    for (int i = 0; i < 10_000; i++) {
      handler.publish(record("dropped"));
    }
    handler.close();
    assertEquals(1, released.getCount(), "the log is still blocked");
    released.countDown();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
