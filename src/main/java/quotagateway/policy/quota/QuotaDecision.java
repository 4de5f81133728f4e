package quotagateway.policy.quota;

/** Decision of a customer's quota on one request. */
public sealed interface QuotaDecision {

  /** The request is within all limits of its customer's plan. */
  record Admitted() implements QuotaDecision {}

  /** The decision is made by a reply of the counter, or when the request stops waiting for it. */
  record PendingCounterReply() implements QuotaDecision {}

  /**
   * The request exceeds a limit of its customer's plan, or the backends are loaded and the counter
   * has not confirmed that the request is within the limits.
   *
   * @param retryAfterMs time after which the limit is expected to have room for the request
   */
  record OverQuota(double retryAfterMs) implements QuotaDecision {}
}
