package quotagateway.policy.event;

/**
 * Reports the last byte of a request that was reported before its body was complete. From this
 * event on, the deadline of the request is known. The parts of the body that were already forwarded
 * cannot be sent again.
 *
 * @param requestId ID of the request
 * @param deadlineAtMs time at which the client stops waiting
 */
public record RequestBodyComplete(String requestId, double deadlineAtMs) implements Event {}
