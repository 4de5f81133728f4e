package quotagateway.policy.quota;

/** What quota decisions depend on beside quotas; read on the thread of the policy. */
public interface BackendLoad {

  /** Mean service time of all backends, in milliseconds. */
  double meanServiceMs();

  /**
   * Whether the backends are too loaded for a request of that priority weight whose quota the
   * counter has not confirmed.
   */
  boolean isOverloadedForUnconfirmed(double priorityWeight);
}
