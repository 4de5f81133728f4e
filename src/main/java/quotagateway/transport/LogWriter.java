package quotagateway.transport;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.logging.Logger;

/**
 * Writes log lines on a thread of its own, so that a log that is not read or cannot be written
 * never holds up an event loop. Lines that come faster than they are written are dropped.
 * Thread-safe.
 */
final class LogWriter {

  private static final Logger LOG = Logger.getLogger("quotagateway.events");

  /** Bounds the memory of lines that wait. */
  private static final int MAX_WAITING_LINES = 512;

  private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING_LINES);

  /** Creates the shared writer when it is first used. */
  private static final class Shared {
    private static final LogWriter INSTANCE = start();

    private static LogWriter start() {
      LogWriter writer = new LogWriter();
      Thread thread = new Thread(writer::writeLines, "log");
      thread.setDaemon(true);
      thread.start();
      return writer;
    }
  }

  private LogWriter() {}

  /** Returns the writer of this process. */
  static LogWriter shared() {
    return Shared.INSTANCE;
  }

  /** Has a line written, unless too many wait. */
  void write(String line) {
    waiting.offer(line);
  }

  private void writeLines() {
    try {
      while (true) {
        LOG.info(waiting.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
