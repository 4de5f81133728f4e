package quotagateway.policy.action;

/**
 * Final response: rejected; its client may safely send it again, as it was not executed or is
 * idempotent.
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
