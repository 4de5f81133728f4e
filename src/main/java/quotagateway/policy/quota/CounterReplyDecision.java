package quotagateway.policy.quota;

/**
 * Decision made by a reply of the counter on the request that waited for it.
 *
 * @param requestId the request
 * @param decision the decision, which may be to wait for another reply
 */
public record CounterReplyDecision(String requestId, QuotaDecision decision) {}
