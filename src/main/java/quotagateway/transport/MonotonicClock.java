package quotagateway.transport;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in milliseconds that never goes backwards: the system time at creation, advanced by a
 * monotonic clock. With the system time itself, a clock step would change the quota windows in
 * counter names, and this gateway could count in a different window from the others. The drawback
 * is that a step which corrects the system time takes effect only after a restart. Thread-safe.
 */
public final class MonotonicClock {

  private final LongSupplier nanoTime;
  private final double startMs;
  private final long startNanos;

  /** Creates a clock that starts at the current system time. */
  public MonotonicClock() {
    this(System::nanoTime);
  }

  /**
   * Creates a clock that starts at the current system time and advances with the given clock.
   *
   * @param nanoTime a monotonic clock in nanoseconds, with any origin
   */
  public MonotonicClock(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    Instant start = Instant.now();
    startNanos = nanoTime.getAsLong();
    startMs = start.getEpochSecond() * 1e3 + start.getNano() / 1e6;
  }

  /** Returns the Unix time in milliseconds. */
  public double now() {
    return startMs + (nanoTime.getAsLong() - startNanos) / 1e6;
  }
}
