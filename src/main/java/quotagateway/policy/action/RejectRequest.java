package quotagateway.policy.action;

/**
 * Rejects a request as its final response. The client may safely send the request again, because it
 * was not executed or because a further execution does no harm.
 *
 * @param requestId ID of the request
 * @param retryAfterMs delay after which the client is advised to retry; 0 gives no advice
 * @param reason why it is rejected
 */
public record RejectRequest(String requestId, double retryAfterMs, RejectReason reason)
    implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onRejectRequest(this);
  }
}
