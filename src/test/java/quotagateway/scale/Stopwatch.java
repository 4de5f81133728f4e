package quotagateway.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/**
 * Processor time of the calling thread, which other programs on the machine disturb less than the
 * clock.
 */
final class Stopwatch {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final double NANOS_PER_MS = 1e6;

  private Stopwatch() {}

  /** Processor time of this thread since its start, in milliseconds. */
  static double cpuMs() {
    return THREADS.getCurrentThreadCpuTime() / NANOS_PER_MS;
  }

  /** Time of the monotonic clock, in milliseconds. */
  static double wallMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /** Processor times of a task in milliseconds, repeated for so long or so often, once at least. */
  static double[] repeat(int most, double seconds, Runnable task) {
    double until = wallMs() + 1000 * seconds;
    double[] times = new double[most];
    int done = 0;
    do {
      double from = cpuMs();
      task.run();
      times[done++] = cpuMs() - from;
    } while (done < most && wallMs() < until);
    return Arrays.copyOf(times, done);
  }

  /** Bytes of the heap in use after collections. */
  static long liveHeap() {
    for (int i = 0; i < 2; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
