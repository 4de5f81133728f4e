package quotagateway.endpoint;

/** The state of an endpoint in the endpoint list. */
public enum EndpointState {
  /** The endpoint accepts requests. */
  SERVING,
  /** The endpoint completes its outstanding requests and must not get new ones. */
  DRAINING,
  /** The endpoint is no longer listed. */
  REMOVED
}
