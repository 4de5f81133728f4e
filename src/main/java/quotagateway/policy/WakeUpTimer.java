package quotagateway.policy;

/**
 * Tracks when the policy's next check of open requests is due, and detects stalls of the gateway
 * from overdue checks.
 *
 * <p>A wake-up that is long overdue means that this gateway stalled: its process was stopped or got
 * no processor time. After a stall the gateway first reads what arrived during the stall, and time
 * measured across the stall is not counted against a backend or the counter. Without this, the
 * gateway would blame working backends and a working counter, which would be visible as ejections
 * at this gateway alone. The only drawback is that the check of open requests is later.
 *
 * <p>Times are event times, in milliseconds. Not thread-safe; confined to the policy's thread.
 */
final class WakeUpTimer {

  /** Lateness above which a wake-up indicates a stall; load alone causes far less. */
  private static final double MIN_STALL_MS = 100;

  private double dueAtMs;
  private double stalledFromMs;
  private double stalledUntilMs = Double.NEGATIVE_INFINITY;

  /** Sets the time at which the next wake-up is due. */
  void schedule(double atMs) {
    dueAtMs = atMs;
  }

  /** Records a stall if the wake-up is overdue. Called at the start of each event. */
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

  /** Whether the last stall ended at the time of the current event. */
  boolean isStalled(double nowMs) {
    return nowMs <= stalledUntilMs;
  }

  /** Returns when the last stall ended, or negative infinity if there was none. */
  double stalledUntilMs() {
    return stalledUntilMs;
  }

  /** Returns how much of the time since {@code sinceMs} the last stall accounts for. */
  double stalledMsSince(double sinceMs) {
    return Math.max(0, stalledUntilMs - Math.max(stalledFromMs, sinceMs));
  }
}
