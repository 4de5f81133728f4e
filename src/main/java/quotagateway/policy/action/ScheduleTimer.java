package quotagateway.policy.action;

/**
 * Schedules a {@link quotagateway.policy.event.TimerFired} event for the policy.
 *
 * @param atMs time at which the timer is due, in Unix milliseconds
 * @param timer the timer
 */
public record ScheduleTimer(double atMs, Timer timer) implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onScheduleTimer(this);
  }
}
