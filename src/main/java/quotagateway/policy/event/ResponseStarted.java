package quotagateway.policy.event;

/**
 * A streamed response has begun to go to the client.
 *
 * @param requestId the request
 * @param attempt the number of the attempt that it comes from
 */
public record ResponseStarted(String requestId, int attempt) implements Event {}
