package quotagateway.policy.action;

/** The timers of a policy. */
public enum Timer {
  /** Triggers the check of the time limits of open requests. */
  REQUEST_CHECK,
  /** Continues the removal of endpoints that are no longer listed. */
  ENDPOINT_SWEEP,
  /** Triggers another request for the endpoint list after a failure to obtain it. */
  ENDPOINT_WATCH
}
