package quotagateway.policy.event;

/**
 * The last byte has come of a request that was taken while its body was still coming. Its deadline
 * is known from here on, and what was sent of such a body cannot be sent again.
 *
 * @param requestId the request
 * @param deadlineAtMs when its client gives up
 */
public record RequestBodyComplete(String requestId, double deadlineAtMs) implements Event {}
