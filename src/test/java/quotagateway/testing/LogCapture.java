package quotagateway.testing;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Records the messages that a class logs at or above a level until the capture is closed. */
public final class LogCapture implements AutoCloseable {

  private final List<String> messages = new CopyOnWriteArrayList<>();
  private final Logger logger;
  private final Handler handler = new RecordingHandler();
  private volatile Consumer<String> listener = message -> {};

  /** Records messages at {@link Level#WARNING} and above. */
  public LogCapture(Class<?> source) {
    this(source, Level.WARNING);
  }

  /** Records messages at the given level and above. */
  public LogCapture(Class<?> source, Level level) {
    handler.setLevel(level);
    logger = Logger.getLogger(source.getName());
    logger.addHandler(handler);
  }

  /** Returns the messages logged so far. */
  public List<String> messages() {
    return List.copyOf(messages);
  }

  /** Sets the listener that receives each message on the thread that logs it. */
  public void onMessage(Consumer<String> newListener) {
    listener = newListener;
  }

  @Override
  public void close() {
    logger.removeHandler(handler);
  }

  private final class RecordingHandler extends Handler {

    @Override
    public void publish(LogRecord logRecord) {
      if (isLoggable(logRecord)) {
        messages.add(logRecord.getMessage());
        listener.accept(logRecord.getMessage());
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
