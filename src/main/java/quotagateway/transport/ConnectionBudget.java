package quotagateway.transport;

/**
 * The connections of clients and to backends, which share what descriptors there are: a crowd of
 * clients may take what the backends do not need, and gives it back as they need more.
 */
public final class ConnectionBudget {

  /** Kept free for backends in any case, and beyond what they have. */
  private static final double LEAST_FOR_BACKENDS = 0.25;

  private static final double AHEAD_FOR_BACKENDS = 0.08;

  /** Clients hold a third of all descriptors at most for requests, each with one attempt out. */
  private static final double MOST_FOR_BACKENDS = 0.44;

  private final int alone;
  private int all;
  private int clients;
  private int backends;

  public ConnectionBudget(int all) {
    this.alone = all;
    this.all = all;
  }

  /** So many there are while another process has its part of the descriptors; 0: there is none. */
  public void beside(int places) {
    all = places > 0 ? Math.min(alone, places) : alone;
  }

  public void client(int change) {
    clients += change;
  }

  public void backend(int change) {
    backends += change;
  }

  public int clients() {
    return clients;
  }

  /** How many clients there may be by now. */
  public int mostClients() {
    return all - (int) (Math.max(all * LEAST_FOR_BACKENDS, backends + all * AHEAD_FOR_BACKENDS));
  }

  public boolean roomForBackend() {
    return backends < all * MOST_FOR_BACKENDS && clients + backends < all;
  }
}
