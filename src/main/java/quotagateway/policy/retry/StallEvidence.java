package quotagateway.policy.retry;

/**
 * What is known about a response that has stalled.
 *
 * @param backendLeavesResponsesIncomplete whether the latest responses of the backend that stalled
 *     never ended, and it has completed none since
 * @param backendResponsive whether the backend has completed another response during the stall
 * @param resumedShare share of the recent stalls at all backends that ended by themselves, from 0
 *     to 1; NaN if there was none
 */
public record StallEvidence(
    boolean backendLeavesResponsesIncomplete, boolean backendResponsive, double resumedShare) {}
