package quotagateway.policy.action;

/** Why an attempt is cancelled. */
public enum CancelReason {
  /** No response has begun, and the attempt looks lost. */
  NO_RESPONSE,
  /** The response began and then made no progress. */
  RESPONSE_STALLED,
  /** The backend took no part of the body for a while. */
  BODY_STALLED
}
