package quotagateway.endpoint;

/** The lookups of endpoints that the network code needs. */
public interface ServingEndpoints {
  /** Returns the address of an endpoint, or {@link Endpoint#NO_ADDRESS} if it is not serving. */
  long address(long id);

  /**
   * Returns the start time of an endpoint in the endpoint list, in Unix milliseconds; 0 if it was
   * long ago or the endpoint is unknown.
   */
  double startedMs(long id);

  /** Returns whether any endpoint is serving. */
  boolean hasServingEndpoint();
}
