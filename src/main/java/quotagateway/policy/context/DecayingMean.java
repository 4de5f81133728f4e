package quotagateway.policy.context;

/**
 * An exponentially weighted mean that forgets by samples where they come often, and by time where
 * they are rare. Owned by the thread of its policy.
 */
public final class DecayingMean {

  private final double newestWeight;
  private final double lifetimeMs;
  private double updatedAtMs;
  private double value;

  /**
   * A mean of 0.
   *
   * @param newestWeight the least weight of the newest sample, from 0 to 1
   * @param lifetimeMs after so long without samples the old ones keep 1/e of their weight
   * @param nowMs the present time
   */
  public DecayingMean(double newestWeight, double lifetimeMs, double nowMs) {
    this.newestWeight = newestWeight;
    this.lifetimeMs = lifetimeMs;
    this.updatedAtMs = nowMs;
  }

  /** Adds a sample with the mean's own least weight. */
  public void add(double sample, double nowMs) {
    add(sample, newestWeight, nowMs);
  }

  /** Adds a sample that has at least the given weight, from 0 to 1. */
  public void add(double sample, double minWeight, double nowMs) {
    double weightByAge = 1 - Math.exp((updatedAtMs - nowMs) / lifetimeMs);
    value += Math.max(minWeight, weightByAge) * (sample - value);
    updatedAtMs = nowMs;
  }

  /** The mean as of the newest sample. */
  public double value() {
    return value;
  }

  /** The mean, decayed towards 0 by the time since the newest sample. */
  public double decayedValue(double nowMs) {
    return value * Math.exp((updatedAtMs - nowMs) / lifetimeMs);
  }
}
