package quotagateway.transport;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Writes log records on a thread of its own, so that a log that nobody reads or that cannot be
 * written never holds up an event loop. Records that come faster than they are written are dropped.
 * The first record is written by its caller, so that the classes of the logging system are loaded
 * before clients are accepted. Thread-safe.
 */
public final class AsyncLogHandler extends Handler {

  /** Bounds the memory of records that wait. */
  private static final int MAX_WAITING_RECORDS = 512;

  /** Longest wait for records that are being written when the process ends. */
  private static final long MAX_FLUSH_MS = 200;

  private static final long FLUSH_CHECK_INTERVAL_MS = 5;

  private final PrintStream output;
  private final BlockingQueue<LogRecord> waiting = new ArrayBlockingQueue<>(MAX_WAITING_RECORDS);
  private final AtomicInteger unwritten = new AtomicInteger();
  private final AtomicBoolean started = new AtomicBoolean();

  AsyncLogHandler(PrintStream output) {
    this.output = output;
    setFormatter(new SimpleFormatter());
  }

  /** Has all loggers of this process write to standard error by a handler of this class. */
  public static void install() {
    LogManager.getLogManager().reset();
    Logger.getLogger("").addHandler(new AsyncLogHandler(System.err));
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (!isLoggable(logRecord)) {
      return;
    }
    if (started.compareAndSet(false, true)) {
      write(logRecord);
      startThread();
    } else if (waiting.offer(logRecord)) {
      unwritten.incrementAndGet();
    }
  }

  private void startThread() {
    Thread thread = new Thread(this::writeRecords, "log");
    thread.setDaemon(true);
    thread.start();
  }

  private void writeRecords() {
    try {
      while (true) {
        write(waiting.take());
        unwritten.decrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(LogRecord logRecord) {
    output.print(getFormatter().format(logRecord));
    output.flush();
  }

  /** Waits for a short time until all records have been written. */
  @Override
  public void flush() {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_FLUSH_MS);
    try {
      while (unwritten.get() > 0 && System.nanoTime() < deadlineNanos) {
        TimeUnit.MILLISECONDS.sleep(FLUSH_CHECK_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    flush();
  }
}
