package quotagateway.transport;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in milliseconds that never goes back: the system's time once, and the monotonic clock
 * since. The names of the shared counts' windows come from it, so a step of the system's time must
 * not reach them.
 */
public final class MonotonicClock {

  private final LongSupplier nanos;
  private final double startMs;
  private final long startNanos;

  public MonotonicClock() {
    this(System::nanoTime);
  }

  public MonotonicClock(LongSupplier nanos) {
    this.nanos = nanos;
    Instant start = Instant.now();
    startNanos = nanos.getAsLong();
    startMs = start.getEpochSecond() * 1e3 + start.getNano() / 1e6;
  }

  public double now() {
    return startMs + (nanos.getAsLong() - startNanos) / 1e6;
  }
}
