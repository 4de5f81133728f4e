package quotagateway.policy.settings;

import java.util.List;

/**
 * All settings that decisions depend on; immutable, and replaced whole on a reload.
 *
 * @param gatewayCount gateways of the fleet
 * @param gatewayIndex this one's number among them
 * @param zone the zone that this gateway runs in
 * @param maxRequestUnits the most units that one request is estimated at
 * @param crossZonePrice of sending a request to another zone, as a share of its latency objective
 * @param endpointWeightsTold whether the weights in the endpoint list mean capacity
 * @param requestClasses by which requests are served
 * @param plans by which customers are limited
 * @param capabilities what the gateway may use and do
 * @param rules figures of the service agreement
 */
public record PolicySettings(
    int gatewayCount,
    int gatewayIndex,
    String zone,
    double maxRequestUnits,
    double crossZonePrice,
    boolean endpointWeightsTold,
    List<RequestClass> requestClasses,
    List<Plan> plans,
    Capabilities capabilities,
    ServiceRules rules) {}
