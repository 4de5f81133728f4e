package quotagateway.policy.settings;

/**
 * A class of requests and its service level.
 *
 * @param name name of the class, as clients give it
 * @param priorityWeight value of a response within the latency objective, relative to other classes
 * @param latePriorityWeight value of a response between the latency objective and the deadline
 * @param latencyObjectiveMs time from the request's last byte within which a response has its full
 *     value; 0 if the class has no latency objective
 * @param deadlineMs maximum time that a client of this class waits
 * @param idempotency whether a request may be executed more than once
 * @param deduplicationScope set of backends that drop repeated executions by idempotency key
 * @param deduplicationWindowMs time during which these backends drop repeated executions, from when
 *     the first attempt that may have been executed was sent
 * @param streamed whether the time to the first bytes of a response counts instead of the time to
 *     its end
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
