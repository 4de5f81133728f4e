package quotagateway.policy.action;

/** The timers of a policy. */
public enum Timer {
  /** Checks the time limits of open requests. */
  REQUEST_CHECK,
  /** Goes on removing endpoints that have left. */
  ENDPOINT_SWEEP,
  /** Asks for the endpoint list again after it could not be had. */
  ENDPOINT_WATCH
}
