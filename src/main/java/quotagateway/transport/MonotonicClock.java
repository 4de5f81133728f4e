package quotagateway.transport;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in milliseconds that never goes back: the system's time once, and the monotonic clock
 * since. Prevents a step of the system's time from reaching the names of quota windows at the
 * shared counter: this gateway could count in another window than the others. Cost: a step that
 * corrects the system's time takes effect at the next start only. May be used on any thread.
 */
public final class MonotonicClock {

  private final LongSupplier nanoTime;
  private final double startMs;
  private final long startNanos;

  /** A clock that starts with the system's time of now. */
  public MonotonicClock() {
    this(System::nanoTime);
  }

  /**
   * A clock that starts with the system's time of now and goes on as another does.
   *
   * @param nanoTime a monotonic clock in nanoseconds, with any origin
   */
  public MonotonicClock(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    Instant start = Instant.now();
    startNanos = nanoTime.getAsLong();
    startMs = start.getEpochSecond() * 1e3 + start.getNano() / 1e6;
  }

  /** Unix time in milliseconds. */
  public double now() {
    return startMs + (nanoTime.getAsLong() - startNanos) / 1e6;
  }
}
