package quotagateway.policy.event;

/**
 * Reports that a call to the shared counter has ended, with or without a reply.
 *
 * @param counterName name of the counter that was incremented
 * @param status how the call ended
 * @param total value of the counter after the increment; valid only with {@link Status#OK}
 * @param latencyMs duration of the call
 */
public record CounterReplied(String counterName, Status status, double total, double latencyMs)
    implements Event {}
