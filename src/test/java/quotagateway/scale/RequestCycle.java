package quotagateway.scale;

import java.util.List;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;

/**
 * Runs requests through one policy from start to end: the counter accepts each request, and a
 * backend responds to it.
 */
final class RequestCycle {

  private static final double COUNTER_LATENCY_MS = 1;
  private static final double BACKEND_LATENCY_MS = 20;

  private final GatewayPolicy policy;
  private final double intervalMs;
  private double nowMs;
  private double nextTimerMs;
  private long served;
  private long rejected;
  private int nextRequest;

  /**
   * Creates a cycle whose interval between requests is such that each customer, if customers are
   * drawn evenly and each request costs one unit, uses one unit per second. This is half of the
   * plan's rate.
   */
  RequestCycle(GatewayPolicy policy, double nowMs, int customers) {
    this.policy = policy;
    intervalMs = 1000.0 / customers;
    this.nowMs = nowMs;
  }

  long served() {
    return served;
  }

  long rejected() {
    return rejected;
  }

  /** Runs one request of a customer up to its final response. */
  void serve(long customer, double units) {
    nowMs += intervalMs;
    if (nowMs >= nextTimerMs) {
      policy.on(nowMs, new TimerFired(Timer.REQUEST_CHECK)).forEach(this::execute);
    }
    String id = Integer.toString(nextRequest++, 36);
    List<Action> actions =
        policy.on(
            nowMs,
            new RequestReceived(
                id,
                ScaleSettings.CLASS,
                ScaleSettings.PLAN.name(),
                customer,
                3,
                units,
                nowMs + ScaleSettings.CLASS.deadlineMs()));
    for (Action action : actions) {
      execute(action);
    }
  }

  private void execute(Action action) {
    if (action instanceof IncrementCounter increment) {
      policy
          .on(
              nowMs,
              new CounterReplied(
                  increment.counterName(), Status.OK, increment.amount(), COUNTER_LATENCY_MS))
          .forEach(this::execute);
    } else if (action instanceof StartAttempt start) {
      served++;
      policy
          .on(
              nowMs,
              new AttemptEnded(
                  start.requestId(),
                  0,
                  start.endpointId(),
                  Status.OK,
                  BACKEND_LATENCY_MS,
                  true,
                  0,
                  null))
          .forEach(this::execute);
    } else if (action instanceof RejectRequest) {
      rejected++;
    } else if (action instanceof ScheduleTimer schedule) {
      nextTimerMs = schedule.atMs();
    }
  }
}
