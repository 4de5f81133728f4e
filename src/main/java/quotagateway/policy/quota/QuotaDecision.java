package quotagateway.policy.quota;

/** What a customer's quota allows for one request. */
public sealed interface QuotaDecision {

  /** It is within all limits of its customer's plan. */
  record Admitted() implements QuotaDecision {}

  /** A reply of the counter, or the end of the wait for it, decides. */
  record PendingCounterReply() implements QuotaDecision {}

  /**
   * It is over a limit of its customer's plan, or the counter has not confirmed that it is within
   * them while backends are loaded.
   *
   * @param retryAfterMs when the limit is expected to have room for it
   */
  record OverQuota(double retryAfterMs) implements QuotaDecision {}
}
