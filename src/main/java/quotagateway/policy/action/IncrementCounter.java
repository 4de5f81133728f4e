package quotagateway.policy.action;

/**
 * Increments a named counter that all gateways share. A counter with a new name starts at 0.
 *
 * @param counterName name of the counter
 * @param amount amount to add; 0 only reads the counter
 * @param ttlMs time after which the counter expires
 */
public record IncrementCounter(String counterName, double amount, double ttlMs) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onIncrementCounter(this);
  }
}
