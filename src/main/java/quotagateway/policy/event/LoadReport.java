package quotagateway.policy.event;

/**
 * The load that a backend reports with a response; a value that it did not report is NaN.
 *
 * @param inFlight requests that it has, queued ones included
 * @param serviceMs its mean time for one
 */
public record LoadReport(double inFlight, double serviceMs) {}
