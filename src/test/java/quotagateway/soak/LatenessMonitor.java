package quotagateway.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;

/**
 * Measures how late the threads of this process wake up. If the stand-ins run late, a time check on
 * their events doesn't show whether the gateway was late.
 */
final class LatenessMonitor implements AutoCloseable {

  private static final double TICK_MS = 5;
  private static final double NANOS_PER_MS = 1e6;

  private final DoubleSupplier nowMs;
  private final ConcurrentSkipListMap<Double, Double> latenessByTickMs =
      new ConcurrentSkipListMap<>();
  private volatile boolean closed;

  LatenessMonitor(DoubleSupplier nowMs) {
    this.nowMs = nowMs;
    Thread thread = new Thread(this::run, "lateness monitor");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    while (!closed) {
      double beforeMs = nowMs.getAsDouble();
      LockSupport.parkNanos((long) (TICK_MS * NANOS_PER_MS));
      double afterMs = nowMs.getAsDouble();
      latenessByTickMs.put(afterMs, afterMs - beforeMs - TICK_MS);
    }
  }

  /** Returns the greatest lateness of the ticks whose delay overlaps the given span. */
  double maxLatenessMs(double fromMs, double toMs) {
    double maxMs = 0;
    for (Map.Entry<Double, Double> tick : latenessByTickMs.tailMap(fromMs, true).entrySet()) {
      if (tick.getKey() - tick.getValue() > toMs) {
        break;
      }
      maxMs = Math.max(maxMs, tick.getValue());
    }
    return maxMs;
  }

  @Override
  public void close() {
    closed = true;
  }
}
