package quotagateway.config;

import quotagateway.transport.PeerMemory;
import quotagateway.transport.SocketTransport;

/**
 * Resource limits of the process, derived from the limits in its configuration. This class alone
 * divides the file descriptors among all kinds of sockets.
 *
 * <p>Without this division, the process could run out of descriptors and fail as a whole, since
 * loading a class or writing a log line needs a descriptor too. The drawback is that some
 * descriptors stay unused.
 *
 * @param maxConnections most connections to clients and backends together
 * @param maxConnectionsDuringUpgrade the same limit while a second process with the same limits
 *     runs in parallel
 * @param heapBytes heap to use, garbage included; may be less than the virtual machine's maximum
 * @param maxHeapBytes most heap that clients, requests and heads of messages may take
 * @param maxBodyBytes most of that heap that requests may take, with their heads and bodies
 * @param maxBufferBytes most memory of what passes between clients and backends
 * @param maxCustomers most customers to keep state for
 * @param maxEndpoints most endpoints that an endpoint list may name
 * @param cores processor cores available to the process; may be a fraction
 */
public record ResourceLimits(
    int maxConnections,
    int maxConnectionsDuringUpgrade,
    long heapBytes,
    long maxHeapBytes,
    int maxBodyBytes,
    long maxBufferBytes,
    int maxCustomers,
    int maxEndpoints,
    double cores) {

  /**
   * Connections to the counter. The counter accepts 32 connections from a gateway, which must also
   * be enough for a second process during an upgrade.
   */
  public static final int COUNTER_CONNECTIONS = 12;

  /** Most connections that the admin server serves at a time. */
  public static final int MAX_ADMIN_CONNECTIONS = 8;

  /**
   * Descriptors of the admin server: its connections, its event loop, its listening socket, and one
   * connection that is being accepted.
   */
  private static final int ADMIN_DESCRIPTORS = MAX_ADMIN_CONNECTIONS + 5;

  /**
   * Descriptors of the process itself: the files of the JVM, the jar, and the epoll, timer and
   * event descriptors of the event loop.
   */
  private static final int PROCESS_DESCRIPTORS = 24;

  /**
   * Connections to the counter and to discovery. Each is counted twice, because a reload opens the
   * new connections before it closes the old ones.
   */
  private static final int CONTROL_CONNECTIONS = 2 * (COUNTER_CONNECTIONS + 1);

  /** Reserve for descriptors that the other constants do not cover. */
  private static final int SPARE_DESCRIPTORS = 14;

  /** Number of connections that is allowed even if fewer descriptors are available. */
  private static final int MIN_CONNECTIONS = 16;

  // Defaults for limits that the configuration does not set, those of a medium-sized machine
  static final double DEFAULT_DESCRIPTORS = 1024;
  static final double DEFAULT_MEMORY_MB = 128;
  static final double DEFAULT_CORES = 1;

  private static final int BYTES_PER_MB = 1 << 20;

  /**
   * Share of the memory that the heap may take. The rest is for buffers, and for the classes, the
   * compiled code and the threads of the virtual machine.
   */
  private static final double HEAP_MEMORY_SHARE = 1.0 / 3;

  private static final double PEER_HEAP_SHARE = 1.0 / 3;
  private static final double BODY_MEMORY_SHARE = 1.0 / 16;
  private static final double BUFFER_MEMORY_SHARE = 1.0 / 8;

  private static final double CUSTOMER_HEAP_SHARE = 1.0 / 6;

  /** Memory of the state of one customer. */
  private static final int CUSTOMER_BYTES = 400;

  private static final int MIN_CUSTOMERS = 1_024;

  private static final double ENDPOINT_MEMORY_SHARE = 1.0 / 6;
  private static final double ENDPOINT_HEAP_SHARE = 2.0 / 3;

  /**
   * Memory of an endpoint while a list is applied: about half of it in the index, and as much again
   * until the endpoint is added there.
   */
  private static final int ENDPOINT_BYTES = 150;

  /**
   * Derives the limits of a process.
   *
   * @param descriptors descriptors that the process may open
   * @param memoryMb memory that the process may use, in MB (2^20 bytes)
   * @param cores processor cores available to the process; may be a fraction
   */
  public static ResourceLimits of(double descriptors, double memoryMb, double cores) {
    int totalDescriptors = (int) descriptors;
    int connections =
        totalDescriptors
            - PROCESS_DESCRIPTORS
            - CONTROL_CONNECTIONS
            - ADMIN_DESCRIPTORS
            - SPARE_DESCRIPTORS;
    int connectionsDuringUpgrade =
        totalDescriptors / 2 - PROCESS_DESCRIPTORS - CONTROL_CONNECTIONS / 2 - ADMIN_DESCRIPTORS;
    double bufferBytes =
        Math.min(
            memoryMb * BUFFER_MEMORY_SHARE * BYTES_PER_MB,
            (double) SocketTransport.maxBufferBytes());
    double heapBytes =
        Math.min(
            memoryMb * HEAP_MEMORY_SHARE * BYTES_PER_MB, (double) Runtime.getRuntime().maxMemory());
    return new ResourceLimits(
        Math.max(MIN_CONNECTIONS, connections),
        Math.max(MIN_CONNECTIONS, connectionsDuringUpgrade),
        (long) heapBytes,
        (long) (heapBytes * PEER_HEAP_SHARE),
        (int) (memoryMb * BODY_MEMORY_SHARE * BYTES_PER_MB),
        (long) bufferBytes,
        maxCustomers(heapBytes),
        maxEndpoints(memoryMb, (double) Runtime.getRuntime().maxMemory()),
        cores);
  }

  /** Returns empty pools of the memory that peers may hold. */
  public PeerMemory newPeerMemory() {
    return PeerMemory.of(maxBufferBytes, maxHeapBytes, maxBodyBytes);
  }

  private static int maxCustomers(double heapBytes) {
    return Math.max(MIN_CUSTOMERS, (int) (heapBytes * CUSTOMER_HEAP_SHARE / CUSTOMER_BYTES));
  }

  private static int maxEndpoints(double memoryMb, double heapBytes) {
    double memoryBytes = memoryMb * BYTES_PER_MB * ENDPOINT_MEMORY_SHARE;
    double usableHeapBytes = heapBytes * ENDPOINT_HEAP_SHARE;
    return (int) (Math.min(memoryBytes, usableHeapBytes) / ENDPOINT_BYTES);
  }
}
