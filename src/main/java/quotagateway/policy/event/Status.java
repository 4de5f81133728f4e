package quotagateway.policy.event;

/** How an attempt or a call to the counter ended. */
public enum Status {
  /** A response of success. */
  OK,
  /** A response of an error. */
  ERROR,
  /** It was answered that nothing was executed. */
  REJECTED,
  /** No response came within the time limit. */
  TIMED_OUT,
  /** The connection was refused, or did not come up within its limit. */
  CONNECT_FAILED,
  /** The connection broke before the request was written whole. */
  WRITE_INCOMPLETE,
  /** The connection broke after the request was written. */
  RESET,
  /**
   * The response cannot be read, or a reused connection turned out to be dead. It may have been
   * executed, and the backend is not at fault.
   */
  MALFORMED_RESPONSE,
  /** The gateway cancelled it. */
  CANCELLED,
  /** This gateway wrote nothing, for reasons of its own. */
  NOT_SENT;

  /** Whether this shows that an attempt was never executed, or that a call added nothing. */
  public boolean provesNotExecuted() {
    return this == REJECTED
        || this == CONNECT_FAILED
        || this == WRITE_INCOMPLETE
        || this == NOT_SENT;
  }
}
