package quotagateway.endpoint;

/** The state of an endpoint in the endpoint list. */
public enum EndpointState {
  /** It takes requests. */
  SERVING,
  /** It finishes the requests that it has, and must get no more. */
  DRAINING,
  /** It is gone. */
  REMOVED
}
