package quotagateway.policy.event;

/**
 * Reports that the gateway has started to send a streamed response to the client.
 *
 * @param requestId ID of the request
 * @param attempt number of the attempt that produced the response
 */
public record ResponseStarted(String requestId, int attempt) implements Event {}
