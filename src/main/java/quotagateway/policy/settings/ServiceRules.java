package quotagateway.policy.settings;

/**
 * Figures of the service agreement that decisions depend on.
 *
 * @param responseSlackMs by how much a response may miss its deadline
 * @param warmUpInitialShare the share of its capacity that a backend has when it starts
 * @param warmUpMs after which it has all of it
 * @param overloadMultiple load above its present capacity at which a warming backend fails
 * @param overloadWindowMs span over which that load is counted
 */
public record ServiceRules(
    double responseSlackMs,
    double warmUpInitialShare,
    double warmUpMs,
    double overloadMultiple,
    double overloadWindowMs) {}
