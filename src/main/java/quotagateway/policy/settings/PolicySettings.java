package quotagateway.policy.settings;

import java.util.List;

/**
 * All settings that decisions depend on. An instance is immutable; a reload replaces it as a whole.
 *
 * @param gatewayCount number of gateways in the fleet
 * @param gatewayIndex index of this gateway in the fleet
 * @param zone zone of this gateway
 * @param maxRequestUnits maximum estimated units of a request
 * @param crossZonePrice cost of sending a request to another zone, as a fraction of its latency
 *     objective
 * @param endpointWeightsTold whether the weights in the endpoint list represent capacity
 * @param requestClasses the request classes
 * @param plans the plans of customers
 * @param capabilities facilities that the gateway may use
 * @param rules figures from the service agreement
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
