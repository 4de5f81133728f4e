package quotagateway.policy.action;

/**
 * Final response: failed, with no promise about its effect.
 *
 * @param requestId the request
 */
public record FailRequest(String requestId) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onFailRequest(this);
  }
}
