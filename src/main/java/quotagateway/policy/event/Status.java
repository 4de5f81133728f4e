package quotagateway.policy.event;

/** How an attempt or a call to the counter ended. */
public enum Status {
  /** The response reported success. */
  OK,
  /** The response reported an error. */
  ERROR,
  /** The peer responded that it executed nothing. */
  REJECTED,
  /** No response came within the time limit. */
  TIMED_OUT,
  /** The connection was refused or was not established within its time limit. */
  CONNECT_FAILED,
  /** The connection broke before the request was completely written. */
  WRITE_INCOMPLETE,
  /** The peer did not take the request in time, so it was not completely written. */
  WRITE_STALLED,
  /** The connection broke after the request was written. */
  RESET,
  /**
   * The response could not be parsed, or a reused connection turned out to be dead. The request may
   * have been executed. The backend is not considered at fault.
   */
  MALFORMED_RESPONSE,
  /** The response began and then made no progress, so that another attempt replaces it. */
  RESPONSE_STALLED,
  /** The gateway cancelled the attempt. */
  CANCELLED,
  /** The gateway wrote nothing, for a reason of its own. */
  NOT_SENT;

  /**
   * Whether this status proves that an attempt was not executed or a counter call added nothing.
   */
  public boolean provesNotExecuted() {
    return this == REJECTED
        || this == CONNECT_FAILED
        || this == WRITE_INCOMPLETE
        || this == WRITE_STALLED
        || this == NOT_SENT;
  }
}
