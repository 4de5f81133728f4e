package quotagateway.policy.quota;

/**
 * State of the backends that quota decisions depend on in addition to quotas. Read on the thread of
 * the policy.
 */
public interface BackendLoad {

  /** Returns the mean service time of all backends, in milliseconds. */
  double meanServiceMs();

  /**
   * Returns whether the backends are too loaded for a request with the given priority weight whose
   * quota the counter has not confirmed.
   */
  boolean isOverloadedForUnconfirmed(double priorityWeight);
}
