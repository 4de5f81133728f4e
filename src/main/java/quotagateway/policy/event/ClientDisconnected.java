package quotagateway.policy.event;

/**
 * The client has gone, and its request is over.
 *
 * @param requestId the request
 */
public record ClientDisconnected(String requestId) implements Event {}
