package quotagateway.simulator;

import java.util.Map;
import quotagateway.policy.action.Timer;

/**
 * Labels of the policy's timers in messages to and from the simulator, which returns each label
 * unchanged.
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

  /** Returns the timer with this label, or null if there is none. */
  static Timer timer(String label) {
    for (Map.Entry<Timer, String> entry : LABELS.entrySet()) {
      if (entry.getValue().equals(label)) {
        return entry.getKey();
      }
    }
    return null;
  }
}
