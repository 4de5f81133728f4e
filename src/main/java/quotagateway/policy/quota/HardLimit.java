package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.Plan;

/**
 * One gateway's view of a customer's hard limit: a second bucket of units that all gateways
 * together must never overdraw by more than the plan's slack.
 *
 * <p>The bucket is split. The local part belongs to this gateway alone and needs no counter. The
 * shared part is drawn on only by requests that the counter has replied for. Neither part is ever
 * larger than its share of the bucket, so the sum holds whatever the counter replies or forgets.
 * Prevents a hard limit from being broken by gateways that lose the counter, or each other's use,
 * all at once. Cost: units that one gateway does not use of its local part are not used at all.
 */
final class HardLimit {

  private final DecisionContext context;

  /** Through how many gateways the customer's requests may come. */
  private final int gateways;

  private Plan plan;
  private double sharedUnits;
  private double localUnits;

  HardLimit(DecisionContext context, Plan plan, int gateways) {
    this.context = context;
    this.plan = plan;
    this.gateways = gateways;
  }

  void follow(Plan changed) {
    plan = changed;
  }

  /** Whether the plan has a hard limit. */
  boolean isSet() {
    return plan.hardLimitUnitsPerSecond() > 0;
  }

  /** Adds what the bucket gains in so many seconds, up to its size. */
  void refill(double seconds) {
    double burstUnits = plan.hardLimitBurstUnits() + plan.hardLimitSlackUnits() / 2;
    double unitsPerSecond = plan.hardLimitUnitsPerSecond();
    double localShare = localShare();
    sharedUnits =
        Math.min(
            burstUnits * (1 - localShare),
            sharedUnits + unitsPerSecond * (1 - localShare) * seconds);
    localUnits =
        Math.min(
            burstUnits * localShare / gateways,
            localUnits + unitsPerSecond * localShare / gateways * seconds);
  }

  /**
   * Takes the units of a request, if the part that it may draw on has them.
   *
   * @param units of the request
   * @param confirmed whether the counter replied for it, so that it may draw on the shared part
   */
  boolean tryAcquire(double units, boolean confirmed) {
    if (!isSet()) {
      return true;
    }
    if (confirmed && sharedUnits >= units) {
      sharedUnits -= units;
      return true;
    }
    if (localUnits >= units) {
      localUnits -= units;
      return true;
    }
    return false;
  }

  /** Takes off what the other gateways are seen to have used. */
  void recordPeerUse(double units) {
    sharedUnits -= units;
    refill(0);
  }

  /**
   * How many of the units that a request did not need may be returned to the shared count. Others
   * may use what is returned, so as much is taken off the local part.
   */
  double coverReturn(double units) {
    if (!isSet() || localShare() >= 1) {
      return units;
    }
    double coveredUnits = Math.min(units, localUnits);
    localUnits -= coveredUnits;
    return coveredUnits;
  }

  /**
   * The local parts of all gateways together, as a share of the bucket: all of it for up to two
   * gateways; for more, less with each, but enough for one largest request at each gateway.
   */
  private double localShare() {
    double evenShare = 2.0 / gateways;
    double largestRequests =
        gateways * context.settings().maxRequestUnits() / plan.hardLimitBurstUnits();
    return Math.min(1, Math.max(evenShare, largestRequests));
  }
}
