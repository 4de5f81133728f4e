package quotagateway.endpoint;

/**
 * Those of the serving endpoints that started too lately to have their whole capacity, the earliest
 * first. Owned by the policy's thread.
 */
final class WarmingUpEndpoints {

  private final EndpointColumns columns;

  /** Start times are positive, so that their bits have the same order. */
  private final OrderedSlots byStart;

  WarmingUpEndpoints(EndpointColumns columns) {
    this.columns = columns;
    byStart = new OrderedSlots(slot -> Double.doubleToLongBits(columns.startedMs(slot)));
  }

  /** Whether an endpoint, serving or not, started less than so long ago. */
  boolean isWarmingUp(int slot, double warmUpMs, double nowMs) {
    double startedMs = columns.startedMs(slot);
    return startedMs > 0 && nowMs - startedMs < warmUpMs;
  }

  /** Adds an endpoint that is not in the set, if it belongs there. */
  void addIfWarmingUp(int slot, double warmUpMs, double nowMs) {
    if (isWarmingUp(slot, warmUpMs, nowMs)) {
      byStart.add(slot);
    }
  }

  /** Removes an endpoint, if it is in the set; to be called before its start time changes. */
  void remove(int slot) {
    byStart.remove(slot);
  }

  /** How many there are, after those that have warmed up were removed. */
  int count(double warmUpMs, double nowMs) {
    while (byStart.size() > 0 && !isWarmingUp(byStart.get(0), warmUpMs, nowMs)) {
      byStart.remove(byStart.get(0));
    }
    return byStart.size();
  }
}
