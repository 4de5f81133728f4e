package quotagateway.policy.retry;

/**
 * The latest successful responses of all backends. They show whether another attempt could be
 * answered within a given time. Owned by the policy's thread; times are in milliseconds.
 */
public final class RecentResponses {

  /** Enough for one response of most backends of a subset. */
  private static final int CAPACITY = 16;

  private final double[] receivedAtMs = new double[CAPACITY];
  private final double[] latencyMs = new double[CAPACITY];
  private int recorded;

  /** Records a response. */
  public void record(double nowMs, double responseLatencyMs) {
    int index = recorded % CAPACITY;
    receivedAtMs[index] = nowMs;
    latencyMs[index] = responseLatencyMs;
    recorded++;
  }

  /** Returns whether any response was received since the given time. */
  public boolean hasAnySince(double sinceMs) {
    return hasWithin(Double.POSITIVE_INFINITY, sinceMs);
  }

  /** Returns whether a response with at most the given latency was received since a time. */
  public boolean hasWithin(double maxLatencyMs, double sinceMs) {
    for (int i = 0; i < Math.min(recorded, CAPACITY); i++) {
      if (receivedAtMs[i] >= sinceMs && latencyMs[i] <= maxLatencyMs) {
        return true;
      }
    }
    return false;
  }
}
