package quotagateway.policy.settings;

/**
 * The facilities that a gateway may use, and their limits.
 *
 * @param sharedCounter whether there is a counter that all gateways share
 * @param counterTimeoutMs time after which a counter call is considered failed
 * @param cancellation whether an attempt may be cancelled
 * @param hedging whether a second attempt may run concurrently with the first
 * @param maxAttempts maximum number of attempts for a request, including the first
 * @param maxOpenRequests maximum number of open requests; further requests are rejected
 * @param retryAfter whether a rejection may advise the client when to retry
 * @param maxRetryAfterMs maximum delay that such advice may give
 * @param pollsDiscovery whether the gateway has to ask for the endpoint list because it is not
 *     pushed
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
