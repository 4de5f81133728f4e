package quotagateway.policy.event;

import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.RequestClass;

/**
 * Reports a request from a client.
 *
 * @param requestId ID of the request, unique among the open requests of this gateway
 * @param requestClass request class from the settings in force when the request was read; null if
 *     those settings do not define the class
 * @param planName name of the plan, as given by the client
 * @param customer number of the customer whose quota is charged
 * @param gatewaysOfCustomer number of gateways that may receive requests of this customer
 * @param units estimated units
 * @param deadlineAtMs time at which the client stops waiting; infinite while the body is incomplete
 * @param capabilities capabilities from the settings in force when the request was read; null to
 *     use those of the policy's current settings
 */
public record RequestReceived(
    String requestId,
    RequestClass requestClass,
    String planName,
    long customer,
    int gatewaysOfCustomer,
    double units,
    double deadlineAtMs,
    Capabilities capabilities)
    implements Event {

  /** Creates an event that uses the capabilities of the policy's current settings. */
  public RequestReceived(
      String requestId,
      RequestClass requestClass,
      String planName,
      long customer,
      int gatewaysOfCustomer,
      double units,
      double deadlineAtMs) {
    this(
        requestId, requestClass, planName, customer, gatewaysOfCustomer, units, deadlineAtMs, null);
  }

  /**
   * Returns a copy with an infinite deadline, for a request whose body is incomplete and whose
   * deadline is therefore unknown.
   */
  public RequestReceived withoutDeadline() {
    return new RequestReceived(
        requestId,
        requestClass,
        planName,
        customer,
        gatewaysOfCustomer,
        units,
        Double.POSITIVE_INFINITY,
        capabilities);
  }
}
