package quotagateway.policy.action;

/**
 * Cancels an attempt in flight.
 *
 * @param requestId ID of the request
 * @param attempt number of the attempt, from 0
 * @param reason why it is cancelled
 */
public record CancelAttempt(String requestId, int attempt, CancelReason reason) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onCancelAttempt(this);
  }
}
