package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.Plan;

/**
 * One gateway's even part of a customer's plan, from which it admits requests that the counter has
 * not replied for: units, and starts of open requests.
 */
final class LocalShare {

  private final DecisionContext context;

  /** Through how many gateways the customer's requests may come. */
  private final int gateways;

  private double quotaUnits;

  /** Most customers use little of their concurrency limit, so a first request is admitted. */
  private double concurrencyStarts = 1;

  /**
   * The part of a customer that is met for the first time.
   *
   * @param context time and settings; one random draw, so that not all gateways admit a first
   *     request at once
   */
  LocalShare(DecisionContext context, int gateways) {
    this.context = context;
    this.gateways = gateways;
    this.quotaUnits = context.nextRandom() * context.settings().maxRequestUnits();
  }

  /**
   * Adds what so many seconds bring. Units may add up to one largest request at least, so that
   * every request can be admitted at some time.
   *
   * @param meanServiceMs mean service time of all backends: so many requests can follow each other
   *     in this gateway's part of the concurrency limit
   */
  void refill(Plan plan, double seconds, double meanServiceMs) {
    double maxUnits = Math.max(plan.burstUnits() / gateways, context.settings().maxRequestUnits());
    quotaUnits = Math.min(maxUnits, quotaUnits + plan.unitsPerSecond() / gateways * seconds);
    double startsPerSecond = plan.concurrencyLimit() / (meanServiceMs / 1000) / gateways;
    concurrencyStarts = Math.min(1, concurrencyStarts + startsPerSecond * seconds);
  }

  boolean hasUnits(double units) {
    return quotaUnits >= units;
  }

  /** Takes off the units of an admitted request, confirmed or not. */
  void charge(double units) {
    quotaUnits = Math.max(0, quotaUnits - units);
  }

  /** Takes a start of an open request, if there is one. */
  boolean tryTakeStart() {
    if (concurrencyStarts < 1) {
      return false;
    }
    concurrencyStarts -= 1;
    return true;
  }
}
