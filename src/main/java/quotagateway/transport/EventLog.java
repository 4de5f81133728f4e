package quotagateway.transport;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;

/**
 * Structured log of what happens to requests, attempts and connections: one line an event, which
 * begins with its name and its reason, followed by {@code key=value} pairs.
 *
 * <p>The number of lines is limited for each event and reason, so that neither a flood of requests
 * nor one frequent reason hides the others. The next line that is written tells how many were
 * suppressed before it. Not thread-safe: each event loop uses an instance of its own.
 */
public final class EventLog {

  private static final Logger LOG = Logger.getLogger("quotagateway.events");

  /** Lines that may be written at once for an event and reason. */
  private static final double BURST_LINES = 20;

  private static final double LINES_PER_SECOND = 5;

  /** Limits the memory for reasons, which are few constants. */
  private static final int MAX_REASONS = 256;

  private static final String OTHER_REASON = "other";
  private static final int MAX_VALUE_LENGTH = 64;
  private static final double NANOS_PER_SECOND = 1e9;

  private static final ThreadLocal<EventLog> OF_THREAD =
      ThreadLocal.withInitial(() -> new EventLog(System::nanoTime, LOG::info));

  private final LongSupplier nanoClock;
  private final Consumer<String> output;
  private final Map<String, LineBudget> budgets = new HashMap<>();

  /**
   * Creates a log.
   *
   * @param nanoClock a monotonic clock in nanoseconds
   * @param output receives each line
   */
  EventLog(LongSupplier nanoClock, Consumer<String> output) {
    this.nanoClock = nanoClock;
    this.output = output;
  }

  /** Returns the log of the current thread, which writes to the log of the process. */
  public static EventLog current() {
    return OF_THREAD.get();
  }

  /**
   * Begins a line, which {@link Line#write} writes.
   *
   * @param reason one of few constant texts; spaces are replaced
   */
  public Line line(LogEvent event, String reason) {
    String key = event.text() + " reason=" + sanitized(reason);
    LineBudget budget = budgets.get(key);
    if (budget == null) {
      if (budgets.size() >= MAX_REASONS && !reason.equals(OTHER_REASON)) {
        return line(event, OTHER_REASON);
      }
      budget = new LineBudget(nanoClock.getAsLong());
      budgets.put(key, budget);
    }
    return budget.take(nanoClock.getAsLong()) ? new Line(key, budget) : new Line();
  }

  /** Returns a value without spaces and control characters, and of limited length. */
  private static String sanitized(String value) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < Math.min(value.length(), MAX_VALUE_LENGTH); i++) {
      char character = value.charAt(i);
      boolean printable = character > ' ' && character <= '~';
      text.append(printable ? character : '_');
    }
    return text.toString();
  }

  /** A line of the log. If it is suppressed, its methods have no effect. */
  public final class Line {

    /** Null if the line is suppressed. */
    private final StringBuilder text;

    private Line() {
      text = null;
    }

    private Line(String begin, LineBudget budget) {
      text = new StringBuilder(begin);
      long suppressed = budget.takeSuppressedCount();
      if (suppressed > 0) {
        with("suppressed", suppressed);
      }
    }

    /** Adds a value. */
    public Line with(String key, Object value) {
      if (text != null) {
        text.append(' ').append(key).append('=').append(sanitized(String.valueOf(value)));
      }
      return this;
    }

    /** Adds a time in milliseconds, without decimals; a time that is not finite is left out. */
    public Line withMs(String key, double milliseconds) {
      if (text != null && Double.isFinite(milliseconds)) {
        text.append(' ').append(key).append('=').append(Math.round(milliseconds));
      }
      return this;
    }

    /** Writes the line. */
    public void write() {
      if (text != null) {
        output.accept(text.toString());
      }
    }
  }

  /** Token bucket of the lines for one event and reason. */
  private static final class LineBudget {
    private double tokens = BURST_LINES;
    private long refilledAtNanos;
    private long suppressed;

    LineBudget(long nowNanos) {
      refilledAtNanos = nowNanos;
    }

    boolean take(long nowNanos) {
      double refill = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * LINES_PER_SECOND;
      tokens = Math.min(BURST_LINES, tokens + refill);
      refilledAtNanos = nowNanos;
      if (tokens < 1) {
        suppressed++;
        return false;
      }
      tokens--;
      return true;
    }

    long takeSuppressedCount() {
      long count = suppressed;
      suppressed = 0;
      return count;
    }
  }
}
