package quotagateway.simulator;

import java.util.Map;
import quotagateway.policy.action.Timer;

/**
 * How the simulator's messages name the timers of a policy; it returns the labels as it got them.
 */
final class TimerLabels {

  private static final Map<Timer, String> LABELS =
      Map.of(
          Timer.REQUEST_CHECK, "tick",
          Timer.ENDPOINT_SWEEP, "sweep",
          Timer.ENDPOINT_WATCH, "follow");

  private TimerLabels() {}

  static String label(Timer timer) {
    return LABELS.get(timer);
  }

  /** The timer of a label, or null where it is none of them. */
  static Timer timer(String label) {
    for (Map.Entry<Timer, String> entry : LABELS.entrySet()) {
      if (entry.getValue().equals(label)) {
        return entry.getKey();
      }
    }
    return null;
  }
}
