package quotagateway.policy.event;

import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.RequestClass;

/**
 * A client's request.
 *
 * @param requestId unique among the open requests of this gateway
 * @param requestClass by the settings in force when it was read; null where they name none such
 * @param planName the plan that the client names
 * @param customer whose quota it is charged to
 * @param gatewaysOfCustomer through how many gateways that customer's requests may come
 * @param units estimated cost
 * @param deadlineAtMs when the client gives up; infinite while the body is still coming
 * @param capabilities by the settings in force when it was read; null where the policy's own hold
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

  /** A request under the policy's own capabilities. */
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

  /** The same while its body is still coming, so that its deadline is not known yet. */
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
