package quotagateway.endpoint;

/** What a message of endpoints stands for. */
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
   * A piece of a list of which more follows: the next message of another form is its end, and tells
   * what the whole was. Its entries hold at once.
   */
  FRAGMENT
}
