package quotagateway.endpoint;

/** The form of an update of the endpoint list. */
public enum EndpointListForm {
  /** Only the changed endpoints. */
  DELTA,
  /** All endpoints; endpoints that it does not contain are removed. */
  SNAPSHOT,
  /** All endpoints as known before this process started. */
  CACHED_SNAPSHOT,
  /** The list could not be retrieved. */
  FAILED,
  /**
   * A part of a list that continues in the next update. The next update of another form completes
   * the list and determines the form of the complete list. The entries of a fragment apply at once.
   */
  FRAGMENT
}
