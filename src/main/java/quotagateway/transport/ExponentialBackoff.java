package quotagateway.transport;

import java.util.function.DoubleSupplier;

/**
 * Delays between attempts that fail one after another: each is about twice the one before, up to a
 * maximum, and spread at random, so that gateways which lost a peer together do not return to it
 * together. Not thread-safe: belongs to one event loop.
 */
public final class ExponentialBackoff {

  private static final double GROWTH_FACTOR = 2;

  /** A delay is this part of its base at least, and one base more than that at most. */
  private static final double MIN_JITTER_FACTOR = 0.5;

  private final double minBaseMs;
  private final DoubleSupplier random;
  private double baseMs;

  /**
   * Creates a backoff that starts at its minimum.
   *
   * @param minBaseMs base of the first delay, in milliseconds
   * @param random gives numbers from 0 to 1, one for each delay
   */
  public ExponentialBackoff(double minBaseMs, DoubleSupplier random) {
    this.minBaseMs = minBaseMs;
    this.random = random;
    baseMs = minBaseMs;
  }

  /** Starts again at the minimum. */
  public void reset() {
    baseMs = minBaseMs;
  }

  /**
   * The delay before the next attempt, from half to one and a half times its base, in milliseconds.
   *
   * @param maxBaseMs what the base of the delay after this one grows to at most, in milliseconds
   */
  public double nextDelayMs(double maxBaseMs) {
    double delayMs = baseMs * (MIN_JITTER_FACTOR + random.getAsDouble());
    baseMs = Math.min(maxBaseMs, GROWTH_FACTOR * baseMs);
    return delayMs;
  }
}
