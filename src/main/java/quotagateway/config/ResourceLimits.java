package quotagateway.config;

/**
 * What the process may hold, derived from the limits in its configuration. It is the one place that
 * divides the descriptors among all kinds of sockets.
 *
 * <p>Prevents descriptors from running out, which takes the whole process down: a class that loads
 * late or a log line needs one too. Cost: some descriptors stay unused.
 *
 * @param connections to clients and to backends, together
 * @param connectionsDuringUpgrade the same while a second process with the same limits runs beside
 *     this one
 * @param bodyBytes of request bodies that may be held
 * @param streams responses that may be streamed at a time
 * @param endpoints that a list of discovery may name
 * @param cores the part of one core that the process gets, or more than one
 */
public record ResourceLimits(
    int connections,
    int connectionsDuringUpgrade,
    int bodyBytes,
    int streams,
    int endpoints,
    double cores) {

  /**
   * Connections to the counter, which holds 32 for a gateway; that has to do for a second process
   * beside this one too.
   */
  public static final int COUNTER_CONNECTIONS = 12;

  /** Callers that the admin server serves at a time. */
  public static final int MAX_ADMIN_CONNECTIONS = 8;

  /** The admin server's event loop and its listening socket, and one caller being accepted. */
  private static final int ADMIN_DESCRIPTORS = MAX_ADMIN_CONNECTIONS + 5;

  /** The JVM's files, the jar, and the epoll, timer and event descriptors of the event loop. */
  private static final int PROCESS_DESCRIPTORS = 24;

  /** To the counter and to discovery, twice: a reload opens the new before it closes the old. */
  private static final int CONTROL_CONNECTIONS = 2 * (COUNTER_CONNECTIONS + 1);

  /** Kept free for what the parts above do not count. */
  private static final int SPARE_DESCRIPTORS = 14;

  /** However few descriptors there are, so many connections are allowed. */
  private static final int MIN_CONNECTIONS = 16;

  /** Without limits in the configuration, those of a middling machine hold. */
  static final double DEFAULT_DESCRIPTORS = 1024;

  static final double DEFAULT_MEMORY_MB = 128;
  static final double DEFAULT_CORES = 1;

  private static final int BYTES_PER_MB = 1 << 20;
  private static final double BODY_MEMORY_SHARE = 1.0 / 16;
  private static final double STREAM_MEMORY_SHARE = 1.0 / 8;

  /** The most that a body or response in transfer has waiting or being read. */
  private static final int MAX_STREAM_BYTES = 64 * 1024;

  private static final double ENDPOINT_MEMORY_SHARE = 1.0 / 6;
  private static final double ENDPOINT_HEAP_SHARE = 2.0 / 3;

  /** What an endpoint takes in the index, and as much again until it is there. */
  private static final int ENDPOINT_BYTES = 150;

  /**
   * The limits of a process.
   *
   * @param descriptors that it may have open
   * @param memoryMb that it may use
   * @param cores of which it gets the time
   */
  public static ResourceLimits of(double descriptors, double memoryMb, double cores) {
    int whole = (int) descriptors;
    int connections =
        whole - PROCESS_DESCRIPTORS - CONTROL_CONNECTIONS - ADMIN_DESCRIPTORS - SPARE_DESCRIPTORS;
    int duringUpgrade =
        whole / 2 - PROCESS_DESCRIPTORS - CONTROL_CONNECTIONS / 2 - ADMIN_DESCRIPTORS;
    return new ResourceLimits(
        Math.max(MIN_CONNECTIONS, connections),
        Math.max(MIN_CONNECTIONS, duringUpgrade),
        (int) (memoryMb * BODY_MEMORY_SHARE * BYTES_PER_MB),
        (int) (memoryMb * STREAM_MEMORY_SHARE * BYTES_PER_MB / MAX_STREAM_BYTES),
        maxEndpoints(memoryMb, (double) Runtime.getRuntime().maxMemory()),
        cores);
  }

  private static int maxEndpoints(double memoryMb, double heapBytes) {
    double memoryBytes = memoryMb * BYTES_PER_MB * ENDPOINT_MEMORY_SHARE;
    double usableHeapBytes = heapBytes * ENDPOINT_HEAP_SHARE;
    return (int) (Math.min(memoryBytes, usableHeapBytes) / ENDPOINT_BYTES);
  }
}
