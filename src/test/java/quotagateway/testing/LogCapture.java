package quotagateway.testing;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** The log lines of one class, from a level up, until it is closed. */
public final class LogCapture extends Handler implements AutoCloseable {

  private final Logger log;
  private final List<String> lines = new CopyOnWriteArrayList<>();
  private volatile Consumer<String> listener = line -> {};

  /**
   * Starts to capture.
   *
   * @param source whose lines they are
   * @param lowest level of the lines
   */
  public LogCapture(Class<?> source, Level lowest) {
    log = Logger.getLogger(source.getName());
    setLevel(lowest);
    log.addHandler(this);
  }

  /** The lines up to now. */
  public List<String> lines() {
    return List.copyOf(lines);
  }

  /** Has the listener get each line as it is logged, on the thread that logs it. */
  public void onLine(Consumer<String> newListener) {
    listener = newListener;
  }

  @Override
  public void publish(LogRecord line) {
    if (isLoggable(line)) {
      lines.add(line.getMessage());
      listener.accept(line.getMessage());
    }
  }

  @Override
  public void flush() {}

  @Override
  public void close() {
    log.removeHandler(this);
  }
}
