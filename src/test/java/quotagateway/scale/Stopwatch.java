package quotagateway.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/**
 * Measures processor time of the calling thread, which other processes on the machine affect less
 * than elapsed time.
 */
final class Stopwatch {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final double NANOS_PER_MS = 1e6;

  private Stopwatch() {}

  /** Returns the processor time of this thread since its start, in milliseconds. */
  static double cpuMs() {
    return THREADS.getCurrentThreadCpuTime() / NANOS_PER_MS;
  }

  /** Returns the time of the monotonic clock in milliseconds. */
  static double wallMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /**
   * Runs a task repeatedly and returns the processor time of each run in milliseconds.
   *
   * @param maxRuns maximum number of runs
   * @param seconds elapsed time after which no further run starts; the first run always does
   */
  static double[] repeat(int maxRuns, double seconds, Runnable task) {
    double endMs = wallMs() + 1000 * seconds;
    double[] times = new double[maxRuns];
    int runs = 0;
    do {
      double startMs = cpuMs();
      task.run();
      times[runs++] = cpuMs() - startMs;
    } while (runs < maxRuns && wallMs() < endMs);
    return Arrays.copyOf(times, runs);
  }

  /** Returns the heap bytes in use after garbage collections. */
  static long liveHeap() {
    for (int i = 0; i < 2; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
