package quotagateway.testing;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Keeps what a class logs, from a level up, from its creation until it is closed. */
public final class LogCapture implements AutoCloseable {

  private final List<String> messages = new CopyOnWriteArrayList<>();
  private final Logger logger;
  private final Handler handler = new KeepingHandler();
  private volatile Consumer<String> listener = message -> {};

  /** Keeps warnings and errors. */
  public LogCapture(Class<?> source) {
    this(source, Level.WARNING);
  }

  /** Keeps messages of the lowest level and above. */
  public LogCapture(Class<?> source, Level lowest) {
    handler.setLevel(lowest);
    logger = Logger.getLogger(source.getName());
    logger.addHandler(handler);
  }

  /** What was logged so far. */
  public List<String> messages() {
    return List.copyOf(messages);
  }

  /** Has the listener get each message as it is logged, on the thread that logs it. */
  public void onMessage(Consumer<String> newListener) {
    listener = newListener;
  }

  @Override
  public void close() {
    logger.removeHandler(handler);
  }

  private final class KeepingHandler extends Handler {

    @Override
    public void publish(LogRecord line) {
      if (isLoggable(line)) {
        messages.add(line.getMessage());
        listener.accept(line.getMessage());
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
