package quotagateway.policy.settings;

/**
 * One class of requests and its service level.
 *
 * @param name as clients give it
 * @param priorityWeight value of a response within the latency objective, relative to that of other
 *     classes
 * @param latePriorityWeight value of a response between objective and deadline
 * @param latencyObjectiveMs time from the request's last byte within which a response has its full
 *     value; 0 if there is no such time
 * @param deadlineMs the longest time that a client of this class waits
 * @param idempotency whether a request may be executed again
 * @param deduplicationScope which backends drop repeated executions by their key
 * @param deduplicationWindowMs for how long after the first attempt they do
 * @param streamed whether the first bytes of a response count, not its end
 */
public record RequestClass(
    String name,
    double priorityWeight,
    double latePriorityWeight,
    double latencyObjectiveMs,
    double deadlineMs,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    double deduplicationWindowMs,
    boolean streamed) {}
