package quotagateway.policy.action;

/** Why a request is rejected or fails without a backend's response. */
public enum RejectReason {
  /** The maximum number of requests is open. */
  TOO_MANY_OPEN_REQUESTS,
  /** Too little time is left before the deadline. */
  NO_TIME_LEFT,
  /** The backends would not answer within the latency objective. */
  OVERLOADED,
  /** The customer has used up its quota, or the counter has not confirmed it. */
  OVER_QUOTA,
  /** No backend could be used in time. */
  NO_BACKEND,
  /** The last attempt failed, and no other may follow. */
  ATTEMPTS_FAILED,
}
