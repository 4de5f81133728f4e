package quotagateway.policy.action;

/**
 * Add to a named count that all gateways share; a new name starts at 0.
 *
 * @param counterName the count
 * @param amount to add; 0 reads it
 * @param ttlMs after which the name is forgotten
 */
public record IncrementCounter(String counterName, double amount, double ttlMs) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onIncrementCounter(this);
  }
}
