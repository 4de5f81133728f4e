package quotagateway.policy.action;

/**
 * Fails a request as its final response, which leaves open whether the request was executed.
 *
 * @param requestId ID of the request
 * @param reason why it fails
 */
public record FailRequest(String requestId, RejectReason reason) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onFailRequest(this);
  }
}
