package quotagateway.policy.event;

/**
 * The load that a backend reports with a response. A value that the backend did not report is NaN.
 *
 * @param inFlight number of requests at the backend, including queued ones
 * @param serviceMs mean time that the backend takes for a request
 */
public record LoadReport(double inFlight, double serviceMs) {}
