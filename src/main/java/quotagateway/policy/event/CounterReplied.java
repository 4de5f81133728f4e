package quotagateway.policy.event;

/**
 * A call to the counter has ended.
 *
 * @param counterName the named count that it was for
 * @param status how it ended
 * @param total the count after the increment; valid with {@link Status#OK}
 * @param latencyMs how long it took
 */
public record CounterReplied(String counterName, Status status, double total, double latencyMs)
    implements Event {}
