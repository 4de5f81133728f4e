package quotagateway.testing;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Keeps the warnings and errors that a class logs, from its creation until it is closed. */
public final class LogCapture implements AutoCloseable {

  private final List<String> messages = new CopyOnWriteArrayList<>();
  private final Logger logger;
  private final Handler handler = new KeepingHandler();

  public LogCapture(Class<?> source) {
    logger = Logger.getLogger(source.getName());
    logger.addHandler(handler);
  }

  /** What was logged so far. */
  public List<String> messages() {
    return List.copyOf(messages);
  }

  @Override
  public void close() {
    logger.removeHandler(handler);
  }

  private final class KeepingHandler extends Handler {

    @Override
    public void publish(LogRecord line) {
      if (line.getLevel().intValue() >= Level.WARNING.intValue()) {
        messages.add(line.getMessage());
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
