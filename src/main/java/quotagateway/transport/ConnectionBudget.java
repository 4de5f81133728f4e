package quotagateway.transport;

/**
 * Shares the connections that this process may have, which its descriptors bound, between clients
 * and backends: a crowd of clients may take what the backends do not need, and gives it back as
 * they need more. Not thread-safe: belongs to one event loop.
 */
public final class ConnectionBudget {

  /** Of all connections, kept free for backends in any case. */
  private static final double MIN_BACKEND_SHARE = 0.25;

  /** Of all connections, kept free for backends beyond those that they have. */
  private static final double BACKEND_HEADROOM_SHARE = 0.08;

  /**
   * Of all connections, what backends get at most. Clients use a third of all descriptors at most
   * for requests, each with one attempt in flight, so this is enough.
   */
  private static final double MAX_BACKEND_SHARE = 0.44;

  private final int limitWhenAlone;
  private int limit;
  private int clientConnections;
  private int backendConnections;

  /**
   * Creates a budget.
   *
   * @param limit how many connections there may be
   */
  public ConnectionBudget(int limit) {
    limitWhenAlone = limit;
    this.limit = limit;
  }

  /**
   * Leaves a part of the connections to another process of this gateway, as during an upgrade.
   *
   * @param sharedLimit how many connections there may be meanwhile; 0 where there is no other
   *     process
   */
  public void shareWithOtherProcess(int sharedLimit) {
    if (sharedLimit > 0) {
      limit = Math.min(limitWhenAlone, sharedLimit);
    } else {
      limit = limitWhenAlone;
    }
  }

  /** Counts connections of clients that opened; negative for closed ones. */
  public void addClientConnections(int change) {
    clientConnections += change;
  }

  /** Counts connections to backends that opened; negative for closed ones. */
  public void addBackendConnections(int change) {
    backendConnections += change;
  }

  /** How many connections clients have. */
  public int clientConnections() {
    return clientConnections;
  }

  /** How many connections clients may have by now. */
  public int maxClientConnections() {
    double needed = backendConnections + limit * BACKEND_HEADROOM_SHARE;
    double reserved = Math.max(limit * MIN_BACKEND_SHARE, needed);
    return limit - (int) reserved;
  }

  /** Whether one more connection to a backend may be opened. */
  public boolean hasRoomForBackendConnection() {
    return backendConnections < limit * MAX_BACKEND_SHARE
        && clientConnections + backendConnections < limit;
  }
}
