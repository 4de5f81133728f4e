package quotagateway.policy.settings;

/**
 * A customer's quota as a token bucket, with optional additional limits. A rate or limit of 0 means
 * that there is none.
 *
 * @param name name of the plan, as clients give it
 * @param unitsPerSecond refill rate of the token bucket
 * @param burstUnits capacity of the token bucket
 * @param concurrencyLimit maximum number of open requests of the customer over all gateways
 * @param priorityFactor factor by which the priority weights of request classes are multiplied
 * @param overQuotaRevenue revenue for each unit served beyond the quota
 * @param overQuotaCost cost of each unit served beyond the quota
 * @param hardLimitUnitsPerSecond refill rate of a second token bucket, which must never be
 *     overdrawn
 * @param hardLimitBurstUnits capacity of the second token bucket
 * @param hardLimitSlackUnits tolerance by which all gateways together may exceed the hard limit
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
