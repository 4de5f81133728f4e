package willowdoor.scale;

import java.util.List;
import willowdoor.GatewayApi.Action;
import willowdoor.GatewayApi.Add;
import willowdoor.GatewayApi.Counted;
import willowdoor.GatewayApi.Outcome;
import willowdoor.GatewayApi.Refuse;
import willowdoor.GatewayApi.Request;
import willowdoor.GatewayApi.Send;
import willowdoor.GatewayApi.Status;
import willowdoor.QuotaPolicy;

/** Takes requests through one module at once: the counter grants each, and a converter answers it. */
final class RequestCycle {

  /** So far apart that the plan's refill covers a customer that comes every time. */
  private static final double APART_MS = 0.01;
  private static final double COUNTER_MS = 1;
  private static final double CONVERTER_MS = 20;

  private final QuotaPolicy policy;
  private double nowMs;
  private long served;
  private long refused;
  private int number;

  RequestCycle(QuotaPolicy policy, double nowMs) {
    this.policy = policy;
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
    nowMs += APART_MS;
    String id = Integer.toString(number++, 36);
    List<Action> actions = policy.on(nowMs, new Request(id, ScaleSettings.CLASS, ScaleSettings.PLAN.name(),
        customer, 3, units, nowMs + ScaleSettings.CLASS.deadlineMs()));
    for (Action action : actions) {
      follow(action);
    }
  }

  private void follow(Action action) {
    if (action instanceof Add add) {
      policy.on(nowMs, new Counted(add.name(), Status.OK, add.amount(), COUNTER_MS)).forEach(this::follow);
    } else if (action instanceof Send send) {
      served++;
      policy.on(nowMs, new Outcome(send.request(), 0, send.backend(), Status.OK, CONVERTER_MS, true, 0, null))
          .forEach(this::follow);
    } else if (action instanceof Refuse) {
      refused++;
    }
  }
}
