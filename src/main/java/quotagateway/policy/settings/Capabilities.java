package quotagateway.policy.settings;

/**
 * What a gateway may use and do.
 *
 * @param sharedCounter whether there is a counter that all gateways share
 * @param counterTimeoutMs after which a counter call counts as failed
 * @param cancellation whether an attempt may be cancelled
 * @param hedging whether a second attempt may run beside the first
 * @param maxAttempts attempts for one request, the first included
 * @param maxOpenRequests how many requests may be open; one that comes beyond that is rejected
 * @param retryAfter whether a rejection may carry advice on when to come back
 * @param maxRetryAfterMs the longest such advice
 * @param pollsDiscovery whether the endpoint list has to be asked for, as it is not pushed
 */
public record Capabilities(
    boolean sharedCounter,
    double counterTimeoutMs,
    boolean cancellation,
    boolean hedging,
    int maxAttempts,
    int maxOpenRequests,
    boolean retryAfter,
    double maxRetryAfterMs,
    boolean pollsDiscovery) {}
