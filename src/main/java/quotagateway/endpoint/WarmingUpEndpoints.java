package quotagateway.endpoint;

/**
 * The serving endpoints that started too recently to have full capacity, ordered by start time.
 * Owned by the policy's thread.
 */
final class WarmingUpEndpoints {

  private final EndpointColumns columns;

  /**
   * Ordered by the bits of the start times, which sort like the times because these are positive.
   */
  private final OrderedSlots byStartTime;

  WarmingUpEndpoints(EndpointColumns columns) {
    this.columns = columns;
    byStartTime = new OrderedSlots(slot -> Double.doubleToLongBits(columns.startedMs(slot)));
  }

  /** Returns whether an endpoint, serving or not, started less than {@code warmUpMs} ago. */
  boolean isWarmingUp(int slot, double warmUpMs, double nowMs) {
    double startedMs = columns.startedMs(slot);
    return startedMs > 0 && nowMs - startedMs < warmUpMs;
  }

  /** Adds an endpoint if it is warming up. The endpoint must not be in the set. */
  void addIfWarmingUp(int slot, double warmUpMs, double nowMs) {
    if (isWarmingUp(slot, warmUpMs, nowMs)) {
      byStartTime.add(slot);
    }
  }

  /** Removes an endpoint if it is in the set. Must be called before its start time changes. */
  void remove(int slot) {
    byStartTime.remove(slot);
  }

  /** Removes the endpoints that have warmed up, and returns the number of the others. */
  int count(double warmUpMs, double nowMs) {
    while (byStartTime.size() > 0 && !isWarmingUp(byStartTime.get(0), warmUpMs, nowMs)) {
      byStartTime.remove(byStartTime.get(0));
    }
    return byStartTime.size();
  }
}
