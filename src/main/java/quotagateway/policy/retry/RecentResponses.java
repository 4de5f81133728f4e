package quotagateway.policy.retry;

import java.util.stream.IntStream;

/**
 * The latest successful responses of all backends. They show whether another attempt could be
 * answered within a given time. Owned by the policy's thread; times are in milliseconds.
 */
public final class RecentResponses {

  /** Enough for one response of most backends of a subset. */
  private static final int CAPACITY = 16;

  /**
   * Age, at the start of an attempt, up to which a response tells how long the attempt may take.
   */
  private static final double MAX_AGE_MS = 3_000;

  /** Share of responses that the usual latency covers. */
  private static final double USUAL_SHARE = 0.8;

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
    return has(Double.POSITIVE_INFINITY, sinceMs);
  }

  /** Returns whether anything is known of the latency of an attempt that was sent then. */
  boolean hasAnyFor(double sentAtMs) {
    return hasAnySince(sentAtMs - MAX_AGE_MS);
  }

  /** Returns whether an attempt that was sent then may have at most the given latency. */
  boolean hasWithin(double maxLatencyMs, double sentAtMs) {
    return has(maxLatencyMs, sentAtMs - MAX_AGE_MS);
  }

  /**
   * Returns the time within which most recent responses came before an attempt that was sent then;
   * 0 if there was none.
   */
  double usualLatencyMs(double sentAtMs) {
    double[] recent =
        IntStream.range(0, Math.min(recorded, CAPACITY))
            .filter(i -> receivedAtMs[i] >= sentAtMs - MAX_AGE_MS)
            .mapToDouble(i -> latencyMs[i])
            .sorted()
            .toArray();
    return recent.length == 0 ? 0 : recent[(int) ((recent.length - 1) * USUAL_SHARE)];
  }

  private boolean has(double maxLatencyMs, double sinceMs) {
    for (int i = 0; i < Math.min(recorded, CAPACITY); i++) {
      if (receivedAtMs[i] >= sinceMs && latencyMs[i] <= maxLatencyMs) {
        return true;
      }
    }
    return false;
  }
}
