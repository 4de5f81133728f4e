package quotagateway.transport;

/**
 * Divides the connections that this process may have, which are limited by its descriptors, between
 * clients and backends. Clients may use what backends do not need, and their limit falls as
 * backends need more. An idle connection to a backend is not needed, as a new one can be opened
 * later. Not thread-safe; confined to one event loop.
 */
public final class ConnectionBudget {

  /** Minimum share of all connections that is reserved for backends. */
  private static final double MIN_BACKEND_SHARE = 0.25;

  /** Share of all connections that is reserved for backends beyond those in use. */
  private static final double BACKEND_HEADROOM_SHARE = 0.08;

  /**
   * Maximum share of all connections that backends may use. It is sufficient because clients use at
   * most a third of all descriptors for requests, and each request has one attempt in flight.
   */
  private static final double MAX_BACKEND_SHARE = 0.44;

  private final int unsharedLimit;
  private int limit;
  private int clientConnections;
  private int backendConnections;
  private int idleBackendConnections;

  /**
   * Creates a budget.
   *
   * @param limit the maximum number of connections of this process
   */
  public ConnectionBudget(int limit) {
    unsharedLimit = limit;
    this.limit = limit;
  }

  /**
   * Lowers the limit while another process of this gateway runs, as during an upgrade.
   *
   * @param sharedLimit the maximum number of connections of this process while the other one runs;
   *     0 if there is no other process
   */
  public void shareWithOtherProcess(int sharedLimit) {
    if (sharedLimit > 0) {
      limit = Math.min(unsharedLimit, sharedLimit);
    } else {
      limit = unsharedLimit;
    }
  }

  /** Adds opened client connections to the count; a negative number counts closed ones. */
  public void addClientConnections(int change) {
    clientConnections += change;
  }

  /** Adds opened backend connections to the count; a negative number counts closed ones. */
  public void addBackendConnections(int change) {
    backendConnections += change;
  }

  /**
   * Counts how many of the open backend connections are idle. A negative number counts those that
   * are used again or are being closed.
   */
  public void addIdleBackendConnections(int change) {
    idleBackendConnections += change;
  }

  /** Returns the number of open client connections. */
  public int clientConnections() {
    return clientConnections;
  }

  /** Returns the maximum number of client connections, given the backend connections in use. */
  public int maxClientConnections() {
    int activeBackendConnections = backendConnections - idleBackendConnections;
    double needed = activeBackendConnections + limit * BACKEND_HEADROOM_SHARE;
    double reserved = Math.max(limit * MIN_BACKEND_SHARE, needed);
    return limit - (int) reserved;
  }

  /** Returns whether one more connection to a backend may be opened. */
  public boolean hasRoomForBackendConnection() {
    return backendConnections < limit * MAX_BACKEND_SHARE
        && clientConnections + backendConnections < limit;
  }

  /** Returns whether clients and backends have more connections than this process may have. */
  public boolean isExceeded() {
    return clientConnections + backendConnections > limit;
  }
}
