package quotagateway.endpoint;

/** What a message of the endpoint list stands for. */
public enum EndpointListForm {
  /** Only what changed. */
  DELTA,
  /** All endpoints: what is not named is gone. */
  SNAPSHOT,
  /** All endpoints as they were known before this process started. */
  CACHED_SNAPSHOT,
  /** The list could not be had. */
  FAILED,
  /**
   * A part of a list of which more follows: the next message of another form is its end, and gives
   * the form of the whole. Its entries hold at once.
   */
  FRAGMENT
}
