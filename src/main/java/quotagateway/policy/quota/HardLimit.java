package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.Plan;

/**
 * One gateway's view of a customer's hard limit: a second bucket of units that all gateways
 * together must never overdraw by more than the plan's slack.
 *
 * <p>The bucket is split. The local part belongs to this gateway alone and needs no counter. Only
 * requests for which the counter has replied may draw on the shared part. Neither part is ever
 * larger than its share of the bucket, so the sum stays within the limit whatever the counter
 * replies or forgets. While another process of this gateway runs, each has half of its parts.
 *
 * <p>Without this split, gateways could break the hard limit if they all lost the counter, or
 * knowledge of each other's use, at the same time. The drawback is that units of a local part that
 * its gateway does not use are not used at all.
 */
final class HardLimit {

  private final DecisionContext context;

  /** Number of gateways through which the customer's requests may arrive. */
  private final int gateways;

  private Plan plan;
  private double sharedUnits;
  private double localUnits;

  /** Whether any units have been taken. */
  private boolean drawn;

  HardLimit(DecisionContext context, Plan plan, int gateways) {
    this.context = context;
    this.plan = plan;
    this.gateways = gateways;
  }

  void applyPlan(Plan newPlan) {
    plan = newPlan;
  }

  /** Returns whether the plan has a hard limit. */
  boolean isSet() {
    return plan.hardLimitUnitsPerSecond() > 0;
  }

  /** Adds the refill of the given number of seconds, up to the size of each part. */
  void refill(double seconds) {
    int processes = context.processes();
    double burstUnits = (plan.hardLimitBurstUnits() + plan.hardLimitSlackUnits() / 2) / processes;
    double unitsPerSecond = plan.hardLimitUnitsPerSecond() / processes;
    double localFraction = localFraction();
    sharedUnits =
        Math.min(
            burstUnits * (1 - localFraction),
            sharedUnits + unitsPerSecond * (1 - localFraction) * seconds);
    localUnits =
        Math.min(
            burstUnits * localFraction / gateways,
            localUnits + unitsPerSecond * localFraction / gateways * seconds);
  }

  /**
   * Takes the units of a request if a part that the request may draw on has enough.
   *
   * @param units the units of the request
   * @param confirmed whether the counter replied for the request, so that it may draw on the shared
   *     part
   */
  boolean tryAcquire(double units, boolean confirmed) {
    if (!isSet()) {
      return true;
    }
    if (confirmed && sharedUnits >= units) {
      sharedUnits -= units;
    } else if (localUnits >= units) {
      localUnits -= units;
    } else {
      return false;
    }
    drawn = true;
    return true;
  }

  /**
   * Returns whether a new instance would have no more units than this one, so that this one may be
   * dropped.
   *
   * @param unusedSeconds the time since the last request
   */
  boolean isRefilledAfter(double unusedSeconds) {
    return !isSet()
        || !drawn
        || unusedSeconds * plan.hardLimitUnitsPerSecond() >= plan.hardLimitBurstUnits();
  }

  /**
   * Subtracts the units that the other gateways have used, according to the counter, from the
   * shared part.
   */
  void recordPeerUse(double units) {
    sharedUnits -= units;
    refill(0);
  }

  /**
   * Deducts unneeded units of a request from the local part so that they can be returned to the
   * shared count, where other gateways may use them. Without a hard limit, or if the local parts
   * are the complete bucket, all units may be returned and nothing is deducted.
   *
   * @return how many of the units may be returned
   */
  double deductReturnedUnits(double units) {
    if (!isSet() || localFraction() >= 1) {
      return units;
    }
    double returnableUnits = Math.min(units, localUnits);
    localUnits -= returnableUnits;
    return returnableUnits;
  }

  /**
   * Returns the size of the local parts of all gateways together, as a fraction of the bucket. The
   * fraction is 1 for up to two gateways. For more gateways it is 2 divided by their number, or the
   * fraction that has room for one request of the maximum size at each gateway if that is larger,
   * but at most 1.
   */
  private double localFraction() {
    double minFraction = 2.0 / gateways;
    double maxRequestsFraction =
        gateways * context.settings().maxRequestUnits() / plan.hardLimitBurstUnits();
    return Math.min(1, Math.max(minFraction, maxRequestsFraction));
  }
}
