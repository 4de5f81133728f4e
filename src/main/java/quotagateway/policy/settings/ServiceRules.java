package quotagateway.policy.settings;

/**
 * Figures from the service agreement that decisions depend on.
 *
 * @param responseSlackMs time by which a response may exceed its deadline
 * @param warmUpInitialShare fraction of its capacity that a backend has when it starts
 * @param warmUpMs time from its start after which a backend has its full capacity
 * @param overloadMultiple load, as a multiple of its current capacity, at which a backend that is
 *     warming up fails
 * @param overloadWindowMs length of the window in which that load is counted
 */
public record ServiceRules(
    double responseSlackMs,
    double warmUpInitialShare,
    double warmUpMs,
    double overloadMultiple,
    double overloadWindowMs) {}
