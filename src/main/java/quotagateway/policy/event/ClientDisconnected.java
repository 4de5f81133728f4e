package quotagateway.policy.event;

/**
 * Reports that a client has disconnected, which ends its request.
 *
 * @param requestId ID of the request
 */
public record ClientDisconnected(String requestId) implements Event {}
