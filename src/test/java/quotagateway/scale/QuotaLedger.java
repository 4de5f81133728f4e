package quotagateway.scale;

import java.util.Arrays;

/**
 * Reference token buckets of the customers. Each bucket starts full and refills at the plan's rate;
 * the caller decides when a request draws its units.
 */
final class QuotaLedger {

  private final double rate;
  private final double burst;
  private final double[] levels;
  private final double[] refilledAtMs;

  /**
   * Creates full buckets.
   *
   * @param customers number of customers
   * @param rate refill in units per second
   * @param burst capacity of a bucket in units
   * @param nowMs current time
   */
  QuotaLedger(int customers, double rate, double burst, double nowMs) {
    this.rate = rate;
    this.burst = burst;
    levels = new double[customers];
    refilledAtMs = new double[customers];
    Arrays.fill(levels, burst);
    Arrays.fill(refilledAtMs, nowMs);
  }

  /** Refills the customer's bucket and returns whether it holds the units. */
  boolean holds(int customer, double units, double nowMs) {
    levels[customer] =
        Math.min(burst, levels[customer] + rate * (nowMs - refilledAtMs[customer]) / 1000);
    refilledAtMs[customer] = nowMs;
    return levels[customer] >= units;
  }

  /** Draws the units if the bucket holds them, and returns whether it does. */
  boolean take(int customer, double units, double nowMs) {
    boolean sufficient = holds(customer, units, nowMs);
    levels[customer] -= sufficient ? units : 0;
    return sufficient;
  }
}
