package quotagateway.policy.event;

/**
 * Reports that an attempt has ended. Each started attempt ends exactly once.
 *
 * @param requestId ID of the request
 * @param attempt number of the attempt, from 0
 * @param endpointId ID of the backend that the attempt used
 * @param status how the attempt ended
 * @param latencyMs time from the request's last byte to the response
 * @param requestFinished whether the client has its final response or has disconnected
 * @param chargedUnits units that the backend charged; 0 if unknown
 * @param loadReport the backend's load report, or null if there was none
 */
public record AttemptEnded(
    String requestId,
    int attempt,
    long endpointId,
    Status status,
    double latencyMs,
    boolean requestFinished,
    double chargedUnits,
    LoadReport loadReport)
    implements Event {}
