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

/** Takes requests through one module at once: the counter grants each, and a backend answers it. */
final class RequestCycle {

  private static final double COUNTER_MS = 1;
  private static final double BACKEND_MS = 20;

  private final GatewayPolicy policy;
  private final double apartMs;
  private double nowMs;
  private double wakeAtMs;
  private long served;
  private long refused;
  private int number;

  /**
   * Requests that come so far apart, so that of customers drawn evenly each asks for one unit a
   * second, which is half of what the plan gives.
   */
  RequestCycle(GatewayPolicy policy, double nowMs, int customers) {
    this.policy = policy;
    apartMs = 1000.0 / customers;
    this.nowMs = nowMs;
  }

  long served() {
    return served;
  }

  long refused() {
    return refused;
  }

  /** One request of that customer, to its final answer. */
  void serve(long customer, double units) {
    nowMs += apartMs;
    if (nowMs >= wakeAtMs) {
      policy.on(nowMs, new TimerFired(Timer.REQUEST_CHECK)).forEach(this::follow);
    }
    String id = Integer.toString(number++, 36);
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
      follow(action);
    }
  }

  private void follow(Action action) {
    if (action instanceof IncrementCounter add) {
      policy
          .on(nowMs, new CounterReplied(add.counterName(), Status.OK, add.amount(), COUNTER_MS))
          .forEach(this::follow);
    } else if (action instanceof StartAttempt send) {
      served++;
      policy
          .on(
              nowMs,
              new AttemptEnded(
                  send.requestId(), 0, send.endpointId(), Status.OK, BACKEND_MS, true, 0, null))
          .forEach(this::follow);
    } else if (action instanceof RejectRequest) {
      refused++;
    } else if (action instanceof ScheduleTimer wake) {
      wakeAtMs = wake.atMs();
    }
  }
}
