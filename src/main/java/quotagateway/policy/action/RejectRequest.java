package quotagateway.policy.action;

/**
 * Final response: rejected, and promised to have had no effect.
 *
 * @param requestId the request
 * @param retryAfterMs after which to come back; 0 gives no advice
 */
public record RejectRequest(String requestId, double retryAfterMs) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onRejectRequest(this);
  }
}
