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
import willowdoor.GatewayApi.WakeAt;
import willowdoor.GatewayApi.Woken;
import willowdoor.QuotaPolicy;

/**
 * Takes requests through one module at once: the counter grants each, and a converter answers it.
 */
final class RequestCycle {

  private static final double COUNTER_MS = 1;
  private static final double CONVERTER_MS = 20;

  private final QuotaPolicy policy;
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
  RequestCycle(QuotaPolicy policy, double nowMs, int customers) {
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
      policy.on(nowMs, new Woken("tick")).forEach(this::follow);
    }
    String id = Integer.toString(number++, 36);
    List<Action> actions =
        policy.on(
            nowMs,
            new Request(
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
    if (action instanceof Add add) {
      policy
          .on(nowMs, new Counted(add.name(), Status.OK, add.amount(), COUNTER_MS))
          .forEach(this::follow);
    } else if (action instanceof Send send) {
      served++;
      policy
          .on(
              nowMs,
              new Outcome(
                  send.request(), 0, send.backend(), Status.OK, CONVERTER_MS, true, 0, null))
          .forEach(this::follow);
    } else if (action instanceof Refuse) {
      refused++;
    } else if (action instanceof WakeAt wake) {
      wakeAtMs = wake.atMs();
    }
  }
}
