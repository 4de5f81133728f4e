package quotagateway.policy;

/**
 * The timer by which a policy checks its open requests, and what its lateness shows.
 *
 * <p>A wake-up that is long overdue shows that this gateway stalled: its process was stopped or got
 * no processor time. What came meanwhile is then read first, and no time seen over the stall is
 * counted against a backend or the counter. Prevents working backends and a working counter from
 * being blamed, which would show as ejections at this gateway alone. Cost: none but a later check.
 *
 * <p>Times are those of events, in milliseconds. Owned by the thread of its policy.
 */
final class WakeUpTimer {

  /** A wake-up later than this means a stall: far more than any load explains. */
  private static final double MIN_STALL_MS = 100;

  private double dueAtMs;
  private double stalledFromMs;
  private double stalledUntilMs = Double.NEGATIVE_INFINITY;

  /** Sets when the next wake-up is due. */
  void schedule(double atMs) {
    dueAtMs = atMs;
  }

  /** Compares the time of an event with that of the wake-up; called first in each event. */
  void detectStall(double nowMs) {
    if (nowMs - dueAtMs > MIN_STALL_MS) {
      stalledUntilMs = nowMs;
      stalledFromMs = dueAtMs;
      dueAtMs = nowMs;
    }
  }

  double dueAtMs() {
    return dueAtMs;
  }

  boolean isDue(double nowMs) {
    return nowMs >= dueAtMs;
  }

  /** Whether the present event came at the end of a stall. */
  boolean isStalled(double nowMs) {
    return nowMs <= stalledUntilMs;
  }

  /** When the last stall ended; minus infinity before the first. */
  double stalledUntilMs() {
    return stalledUntilMs;
  }

  /** How much of the time since then the last stall took. */
  double stalledMsSince(double sinceMs) {
    return Math.max(0, stalledUntilMs - Math.max(stalledFromMs, sinceMs));
  }
}
