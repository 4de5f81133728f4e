package quotagateway.policy.action;

/**
 * Start an attempt; the n-th of a request, from 0, has the number n.
 *
 * @param requestId the request
 * @param endpointId the backend to send it to
 * @param timeoutMs time that is left to the client
 * @param maxStartDelayMs the attempt ends as not sent if it cannot be written whole within this;
 *     infinite where any time will do
 */
public record StartAttempt(
    String requestId, long endpointId, double timeoutMs, double maxStartDelayMs) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onStartAttempt(this);
  }
}
