package quotagateway.policy.event;

/**
 * Reports that the backend has taken nothing of a request's body for a while, although more of it
 * waits. Reported again for as long as that lasts.
 *
 * @param requestId ID of the request
 * @param stalledMs time since the backend last took a part
 */
public record RequestBodyStalled(String requestId, double stalledMs) implements Event {}
