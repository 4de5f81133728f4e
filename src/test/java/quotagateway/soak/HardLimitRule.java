package quotagateway.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The hard limit of a customer over all gateways, modeled as a token bucket. The bucket starts
 * full, each request takes one unit at the time of its first attempt, and the level may fall below
 * 0 by at most {@link #SLACK_UNITS}.
 */
final class HardLimitRule {

  static final double UNITS_PER_SECOND = 25;
  static final double BURST_UNITS = 25;
  static final double SLACK_UNITS = 12;

  private static final double MS_PER_SECOND = 1_000;

  private final List<Double> firstAttemptTimesMs = new ArrayList<>();

  /** Adds a request of the customer, given its recorded events. */
  void addRequest(List<HistoryEvent> events) {
    events.stream()
        .filter(HistoryEvent::isAttempt)
        .mapToDouble(HistoryEvent::timeMs)
        .min()
        .ifPresent(firstAttemptTimesMs::add);
  }

  /** Returns the lowest level that the bucket reaches, in units. */
  double lowestLevelUnits() {
    Collections.sort(firstAttemptTimesMs);
    double level = BURST_UNITS;
    double lowest = level;
    double previousMs = 0;
    for (double attemptMs : firstAttemptTimesMs) {
      double refill = (attemptMs - previousMs) / MS_PER_SECOND * UNITS_PER_SECOND;
      level = Math.min(BURST_UNITS, level + refill) - 1;
      lowest = Math.min(lowest, level);
      previousMs = attemptMs;
    }
    return lowest;
  }
}
