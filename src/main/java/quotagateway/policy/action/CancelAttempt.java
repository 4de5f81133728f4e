package quotagateway.policy.action;

/**
 * Cancel an attempt that is in flight.
 *
 * @param requestId the request
 * @param attempt its number
 */
public record CancelAttempt(String requestId, int attempt) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onCancelAttempt(this);
  }
}
