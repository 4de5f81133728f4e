package quotagateway.policy.context;

/**
 * An exponentially weighted moving average that starts at 0. If samples are frequent, each new
 * sample has a fixed weight. If they are rare, the weight of a new sample grows with the time since
 * the previous one, so that an outdated value does not persist.
 *
 * <p>Not thread-safe; confined to the policy's thread.
 */
public final class ExponentialMean {

  private final double minSampleWeight;
  private final double timeConstantMs;
  private double updatedAtMs;
  private double value;

  /**
   * Creates a mean without samples.
   *
   * @param minSampleWeight minimum weight of a new sample, from 0 to 1; it applies to a sample that
   *     immediately follows the previous one
   * @param timeConstantMs time within which the weight of the previous value decays to 1/e
   * @param nowMs the current time
   */
  public ExponentialMean(double minSampleWeight, double timeConstantMs, double nowMs) {
    this.minSampleWeight = minSampleWeight;
    this.timeConstantMs = timeConstantMs;
    this.updatedAtMs = nowMs;
  }

  /** Adds a sample with the default minimum weight. */
  public void add(double sample, double nowMs) {
    add(sample, minSampleWeight, nowMs);
  }

  /** Adds a sample with at least the given weight. */
  public void add(double sample, double minWeight, double nowMs) {
    double weight = Math.max(minWeight, 1 - Math.exp((updatedAtMs - nowMs) / timeConstantMs));
    value += weight * (sample - value);
    updatedAtMs = nowMs;
  }

  /** Returns the mean as of the latest sample. */
  public double value() {
    return value;
  }

  /** Returns the mean, decayed towards 0 by the time since the latest sample. */
  public double decayedValue(double nowMs) {
    return value * Math.exp((updatedAtMs - nowMs) / timeConstantMs);
  }
}
