package quotagateway.policy.action;

/**
 * Notify the policy, by an event, when a time has come.
 *
 * @param atMs the time, in Unix milliseconds
 * @param timer which timer that is
 */
public record ScheduleTimer(double atMs, Timer timer) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onScheduleTimer(this);
  }
}
