package quotagateway.policy.action;

/**
 * Starts an attempt. The attempts of a request are numbered from 0 in the order of their start.
 *
 * @param requestId ID of the request
 * @param endpointId ID of the backend to send the attempt to
 * @param timeoutMs time within which the response has to arrive to reach the client in time
 * @param maxStartDelayMs time within which the request has to be completely written, or else the
 *     attempt ends as not sent; infinite if there is no limit
 * @param awaitConnection whether a connection may take longer than the connect timeout
 */
public record StartAttempt(
    String requestId,
    long endpointId,
    double timeoutMs,
    double maxStartDelayMs,
    boolean awaitConnection)
    implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onStartAttempt(this);
  }
}
