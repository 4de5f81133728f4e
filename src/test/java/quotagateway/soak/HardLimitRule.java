package quotagateway.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The hard limit of a customer over all gateways: a token bucket that starts full, from which each
 * request takes a unit when its first attempt begins, and that may dip below 0 by the slack alone.
 */
final class HardLimitRule {

  static final double UNITS_PER_SECOND = 25;
  static final double BURST_UNITS = 25;
  static final double SLACK_UNITS = 12;

  private static final double MS_PER_SECOND = 1_000;

  private final List<Double> firstAttemptsMs = new ArrayList<>();

  /** Takes what was seen of a request of the customer. */
  void add(List<HistoryEvent> events) {
    events.stream()
        .filter(HistoryEvent::isAttempt)
        .mapToDouble(HistoryEvent::timeMs)
        .min()
        .ifPresent(firstAttemptsMs::add);
  }

  /** The lowest level of the bucket, in units. */
  double lowestLevel() {
    Collections.sort(firstAttemptsMs);
    double level = BURST_UNITS;
    double lowest = level;
    double atMs = 0;
    for (double attemptMs : firstAttemptsMs) {
      double refill = (attemptMs - atMs) / MS_PER_SECOND * UNITS_PER_SECOND;
      level = Math.min(BURST_UNITS, level + refill) - 1;
      lowest = Math.min(lowest, level);
      atMs = attemptMs;
    }
    return lowest;
  }
}
