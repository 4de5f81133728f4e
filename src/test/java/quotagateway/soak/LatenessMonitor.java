package quotagateway.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;

/**
 * How late the threads of this process run. A check of a time whose stand-in itself ran late says
 * nothing of the gateway.
 */
final class LatenessMonitor implements AutoCloseable {

  private static final double TICK_MS = 5;
  private static final double NANOS_PER_MS = 1e6;

  private final DoubleSupplier nowMs;
  private final ConcurrentSkipListMap<Double, Double> latenessByTime =
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
      double before = nowMs.getAsDouble();
      LockSupport.parkNanos((long) (TICK_MS * NANOS_PER_MS));
      double after = nowMs.getAsDouble();
      latenessByTime.put(after, after - before - TICK_MS);
    }
  }

  /** The most by which a tick was late between those times, or reached into them. */
  double mostBetween(double fromMs, double toMs) {
    double most = 0;
    for (Map.Entry<Double, Double> tick : latenessByTime.tailMap(fromMs, true).entrySet()) {
      if (tick.getKey() - tick.getValue() > toMs) {
        break;
      }
      most = Math.max(most, tick.getValue());
    }
    return most;
  }

  @Override
  public void close() {
    closed = true;
  }
}
