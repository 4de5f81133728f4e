package quotagateway.transport;

import java.util.function.DoubleSupplier;

/**
 * Exponential backoff with jitter between consecutive failed attempts. The base of the delay
 * doubles up to a maximum. The jitter keeps gateways that lost a peer at the same time from
 * reconnecting to it at the same time. Not thread-safe; confined to one event loop.
 */
public final class ExponentialBackoff {

  private static final double GROWTH_FACTOR = 2;

  /** Minimum delay as a fraction of its base; the maximum is higher by one base. */
  private static final double MIN_JITTER_FACTOR = 0.5;

  private final double minBaseMs;
  private final DoubleSupplier random;
  private double baseMs;

  /**
   * Creates a backoff that starts at its minimum.
   *
   * @param minBaseMs the base of the first delay, in milliseconds
   * @param random supplies a number from 0 to 1 for each delay
   */
  public ExponentialBackoff(double minBaseMs, DoubleSupplier random) {
    this.minBaseMs = minBaseMs;
    this.random = random;
    baseMs = minBaseMs;
  }

  /** Resets the base of the next delay to the minimum. */
  public void reset() {
    baseMs = minBaseMs;
  }

  /**
   * Returns the delay before the next attempt in milliseconds, from half to one and a half times
   * the current base, and then doubles the base.
   *
   * @param maxBaseMs the maximum base of the delay after this one, in milliseconds
   */
  public double nextDelayMs(double maxBaseMs) {
    double delayMs = baseMs * (MIN_JITTER_FACTOR + random.getAsDouble());
    baseMs = Math.min(maxBaseMs, GROWTH_FACTOR * baseMs);
    return delayMs;
  }
}
