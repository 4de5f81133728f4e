package quotagateway.policy.settings;

/**
 * The quota of a customer, as a token bucket, with optional limits beside it. A rate or limit of 0
 * means that there is none.
 *
 * @param name as clients give it
 * @param unitsPerSecond refill of the token bucket
 * @param burstUnits size of the token bucket
 * @param concurrencyLimit open requests that the customer may have over all gateways
 * @param priorityFactor by which the priority weights of request classes are multiplied
 * @param overQuotaRevenue what a unit served beyond the quota earns
 * @param overQuotaCost what a unit served beyond the quota costs
 * @param hardLimitUnitsPerSecond refill of a second bucket that must never be overdrawn
 * @param hardLimitBurstUnits size of that bucket
 * @param hardLimitSlackUnits by how much all gateways together may miss it
 */
public record Plan(
    String name,
    double unitsPerSecond,
    double burstUnits,
    int concurrencyLimit,
    double priorityFactor,
    double overQuotaRevenue,
    double overQuotaCost,
    double hardLimitUnitsPerSecond,
    double hardLimitBurstUnits,
    double hardLimitSlackUnits) {}
