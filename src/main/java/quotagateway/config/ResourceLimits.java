package quotagateway.config;

import quotagateway.admin.AdminServer;
import quotagateway.counter.CounterClient;

/**
 * What the process may hold, from the limits that its configuration tells. Descriptors that run out
 * take the whole process down (a class that loads late, a log line), so all kinds of sockets get
 * fitting parts; smaller ones while a second process beside this one has the same limits, as in an
 * upgrade.
 */
public record ResourceLimits(
    int connections,
    int connectionsDuringUpgrade,
    int bodyBytes,
    int streams,
    int endpoints,
    double cores) {

  /**
   * Descriptors of the JVM and of the event loop: its files, the jar, epoll, timer and event
   * descriptors.
   */
  private static final int OWN = 24;

  /**
   * Connections to the counter and to discovery, twice, as while a new configuration takes over.
   */
  private static final int PEERS = 2 * (CounterClient.CONNECTIONS + 1);

  private static final int MARGIN = 14;

  /** Without limits in the configuration, those of a middling machine hold. */
  static final double USUAL_SOCKETS = 1024;

  static final double USUAL_MEMORY_MB = 128;
  static final double USUAL_CORES = 1;
  private static final double BODY_PART = 1.0 / 16;

  /**
   * For bodies and answers that are handed through; each has so much waiting or being read at most.
   */
  private static final double PASSING_PART = 1.0 / 8;

  private static final int PASSING_BYTES = 64 * 1024;

  /**
   * For what discovery tells of backends; each takes so much in the index, and as much until it is
   * there.
   */
  private static final double BACKENDS_PART = 1.0 / 6;

  private static final double HEAP_PART = 2.0 / 3;
  private static final int BACKEND_BYTES = 150;

  private static int endpoints(double memoryMb, double heapBytes) {
    return (int)
        (Math.min(memoryMb * (1 << 20) * BACKENDS_PART, heapBytes * HEAP_PART) / BACKEND_BYTES);
  }

  public static ResourceLimits of(double sockets, double memoryMb, double cores) {
    return new ResourceLimits(
        Math.max(16, (int) sockets - OWN - PEERS - AdminServer.DESCRIPTORS - MARGIN),
        Math.max(16, (int) sockets / 2 - OWN - PEERS / 2 - AdminServer.DESCRIPTORS),
        (int) (memoryMb * BODY_PART * (1 << 20)),
        (int) (memoryMb * PASSING_PART * (1 << 20) / PASSING_BYTES),
        endpoints(memoryMb, Runtime.getRuntime().maxMemory()),
        cores);
  }
}
