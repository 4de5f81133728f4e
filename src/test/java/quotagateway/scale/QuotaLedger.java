package quotagateway.scale;

import java.util.Arrays;

/**
 * The customers' true stores, as the rules count: each starts full, refills at the plan's rate, and
 * a request draws its units when it is first forwarded.
 */
final class QuotaLedger {

  private final double rate;
  private final double burst;
  private final double[] levels;
  private final double[] filledAtMs;

  /** Stores of so many customers, with that many units a second and at most. */
  QuotaLedger(int customers, double rate, double burst, double nowMs) {
    this.rate = rate;
    this.burst = burst;
    levels = new double[customers];
    filledAtMs = new double[customers];
    Arrays.fill(levels, burst);
    Arrays.fill(filledAtMs, nowMs);
  }

  /** Whether the store holds the units by now. */
  boolean holds(int customer, double units, double nowMs) {
    levels[customer] =
        Math.min(burst, levels[customer] + rate * (nowMs - filledAtMs[customer]) / 1000);
    filledAtMs[customer] = nowMs;
    return levels[customer] >= units;
  }

  /** Draws the units if it holds them; false, and nothing drawn, if it does not. */
  boolean take(int customer, double units, double nowMs) {
    boolean held = holds(customer, units, nowMs);
    levels[customer] -= held ? units : 0;
    return held;
  }
}
