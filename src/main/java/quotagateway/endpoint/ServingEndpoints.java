package quotagateway.endpoint;

/** What the network code looks up of endpoints. */
public interface ServingEndpoints {
  /** Where an endpoint listens; {@link Endpoint#NO_ADDRESS} for one that does not serve. */
  long address(long id);

  /** When a serving endpoint started, as the endpoint list says, in Unix milliseconds. */
  double startedMs(long id);

  /** Whether any endpoint serves. */
  boolean anyServing();
}
