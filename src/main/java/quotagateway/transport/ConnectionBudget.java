package quotagateway.transport;

/**
 * The connections of clients and to backends, which share what descriptors there are: a crowd of
 * clients may take what the backends do not need, and gives it back as they need more.
 */
public final class ConnectionBudget {

  /** Kept free for backends in any case, and beyond what they have. */
  private static final double MIN_BACKEND_SHARE = 0.25;

  private static final double BACKEND_HEADROOM_SHARE = 0.08;

  /** Clients hold a third of all descriptors at most for requests, each with one attempt out. */
  private static final double MAX_BACKEND_SHARE = 0.44;

  private final int limitWithoutPeer;
  private int limit;
  private int clientConnections;
  private int backendConnections;

  public ConnectionBudget(int all) {
    this.limitWithoutPeer = all;
    this.limit = all;
  }

  /** So many there are while another process has its part of the descriptors; 0: there is none. */
  public void shareWithOtherProcess(int places) {
    limit = places > 0 ? Math.min(limitWithoutPeer, places) : limitWithoutPeer;
  }

  public void addClientConnections(int change) {
    clientConnections += change;
  }

  public void addBackendConnections(int change) {
    backendConnections += change;
  }

  public int clientConnections() {
    return clientConnections;
  }

  /** How many clients there may be by now. */
  public int maxClientConnections() {
    return limit
        - (int)
            (Math.max(
                limit * MIN_BACKEND_SHARE, backendConnections + limit * BACKEND_HEADROOM_SHARE));
  }

  public boolean hasRoomForBackendConnection() {
    return backendConnections < limit * MAX_BACKEND_SHARE
        && clientConnections + backendConnections < limit;
  }
}
