package quotagateway.policy.action;

/**
 * Cancels an attempt in flight.
 *
 * @param requestId ID of the request
 * @param attempt number of the attempt, from 0
 */
public record CancelAttempt(String requestId, int attempt) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onCancelAttempt(this);
  }
}
