package quotagateway.endpoint;

/** What discovery tells of an endpoint's life. */
public enum EndpointState {
  /** It takes requests. */
  SERVING,
  /** It finishes what it has and must get no more. */
  DRAINING,
  /** It is gone. */
  REMOVED
}
