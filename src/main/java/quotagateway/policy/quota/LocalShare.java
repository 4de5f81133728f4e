package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.Plan;

/**
 * One gateway's even share of a customer's plan, from which the gateway admits requests without a
 * reply of the counter. The share consists of units and of starts of open requests.
 */
final class LocalShare {

  private final DecisionContext context;

  /** Number of gateways through which the customer's requests may arrive. */
  private final int gateways;

  private double availableUnits;

  /**
   * Starts available at present. The initial value admits a first request, because most customers
   * use little of their concurrency limit.
   */
  private double availableStarts = 1;

  /**
   * Creates the share of a customer that this gateway has not seen before.
   *
   * @param context provides the time, the settings and one random draw, so that not all gateways
   *     admit a first request at the same time
   */
  LocalShare(DecisionContext context, int gateways) {
    this.context = context;
    this.gateways = gateways;
    this.availableUnits = context.nextRandom() * context.settings().maxRequestUnits();
  }

  /**
   * Adds the refill of the given number of seconds. The maximum of the units is at least one
   * request of the maximum size, so that every request can be admitted eventually.
   *
   * @param meanServiceMs mean service time of all backends, which determines how many requests per
   *     second can use this gateway's share of the concurrency limit one after another
   */
  void refill(Plan plan, double seconds, double meanServiceMs) {
    double maxUnits = Math.max(plan.burstUnits() / gateways, context.settings().maxRequestUnits());
    availableUnits =
        Math.min(maxUnits, availableUnits + plan.unitsPerSecond() / gateways * seconds);
    double startsPerSecond = plan.concurrencyLimit() / (meanServiceMs / 1000) / gateways;
    availableStarts = Math.min(1, availableStarts + startsPerSecond * seconds);
  }

  boolean hasUnits(double units) {
    return availableUnits >= units;
  }

  /** Subtracts the units of an admitted request, confirmed or not. */
  void charge(double units) {
    availableUnits = Math.max(0, availableUnits - units);
  }

  /** Takes one start of an open request, if one is available. */
  boolean tryAcquireStart() {
    if (availableStarts < 1) {
      return false;
    }
    availableStarts -= 1;
    return true;
  }
}
