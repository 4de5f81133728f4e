package quotagateway.policy.event;

/**
 * Reports that a response that has begun is still incomplete: once when its first bytes have
 * arrived, when it stalls, and when it goes on after a stall. Not reported for a streamed response.
 *
 * @param requestId ID of the request
 * @param attempt number of the attempt that receives the response
 * @param stalled whether no part of the response has arrived for a while
 */
public record ResponseProgress(String requestId, int attempt, boolean stalled) implements Event {}
