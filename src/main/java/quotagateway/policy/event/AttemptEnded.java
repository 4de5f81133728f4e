package quotagateway.policy.event;

/**
 * An attempt has ended; each one that was started ends once.
 *
 * @param requestId the request
 * @param attempt its number, from 0
 * @param endpointId the backend that it was at
 * @param status how it ended
 * @param latencyMs from the request's last byte to the response
 * @param requestFinished whether the client has its final response, or is gone
 * @param chargedUnits what the backend charged; 0 when unknown
 * @param loadReport null when none came
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
