package quotagateway.policy.context;

/**
 * An exponentially weighted moving mean, which starts at 0. Where samples come often, each newest
 * one has a fixed weight; where they are rare, the newest one's weight grows with the time since
 * the one before, so that an old value does not hold on.
 *
 * <p>Owned by the policy's thread.
 */
public final class ExponentialMean {

  private final double minNewestWeight;
  private final double memoryMs;
  private double updatedAtMs;
  private double value;

  /**
   * A mean without samples.
   *
   * @param minNewestWeight weight of a sample that follows at once on the one before, from 0 to 1
   * @param memoryMs time in which what was known loses all but 1/e of its weight
   * @param nowMs the present time
   */
  public ExponentialMean(double minNewestWeight, double memoryMs, double nowMs) {
    this.minNewestWeight = minNewestWeight;
    this.memoryMs = memoryMs;
    this.updatedAtMs = nowMs;
  }

  /** Adds a sample with the usual weight. */
  public void add(double sample, double nowMs) {
    add(sample, minNewestWeight, nowMs);
  }

  /** Adds a sample that has at least the given weight. */
  public void add(double sample, double minWeight, double nowMs) {
    double weight = Math.max(minWeight, 1 - Math.exp((updatedAtMs - nowMs) / memoryMs));
    value += weight * (sample - value);
    updatedAtMs = nowMs;
  }

  /** The mean as of the latest sample. */
  public double value() {
    return value;
  }

  /** The mean, which falls towards 0 as time passes without samples. */
  public double fadedValue(double nowMs) {
    return value * Math.exp((updatedAtMs - nowMs) / memoryMs);
  }
}
