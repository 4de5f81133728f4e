package quotagateway.policy.quota;

/**
 * The units and the concurrency permit that one request holds or waits for, from its arrival to its
 * end. Only {@link QuotaLimiter} and {@link ConcurrencyLimiter} change it, on the thread of the
 * policy.
 */
public final class QuotaReservation {

  final String requestId;
  final CustomerAccount account;

  final double estimatedUnits;

  private final double classPriorityWeight;

  // Units

  /** Whether the request waits for the reply to the call that adds its units. */
  boolean awaitingUnits;

  /**
   * Whether the call that adds the request's units has no reply yet. This may be true after the
   * request has stopped waiting.
   */
  boolean unitsCallPending;

  /** Units that the call adds for the request: its estimate, or 0. */
  double requestedUnits;

  /** Whether the total is read a second time because the connection of the first call broke. */
  boolean rereadTotal;

  /** Whether the request's units are, or may be, in the shared count. */
  boolean unitsCounted;

  /** Whether the request's units are charged to its customer. */
  boolean charged;

  // Concurrency permit

  /** Name of the count in which the request has, or may have, a permit; null if it has none. */
  String permitCounterName;

  /** Whether the request waits for the reply to the call for a permit. */
  boolean awaitingPermit;

  /**
   * Whether the call for a permit has no reply yet. This may be true after the request has stopped
   * waiting.
   */
  boolean permitCallPending;

  /** Whether the request has ended, so that no further attempt follows. */
  boolean ended;

  QuotaReservation(
      String requestId,
      CustomerAccount account,
      double estimatedUnits,
      double classPriorityWeight) {
    this.requestId = requestId;
    this.account = account;
    this.estimatedUnits = estimatedUnits;
    this.classPriorityWeight = classPriorityWeight;
  }

  /**
   * Returns the priority weight of the request's class, multiplied by the priority factor of its
   * customer's plan.
   */
  public double priorityWeight() {
    return classPriorityWeight * account.plan().priorityFactor();
  }

  /** Returns whether the request waits for a reply of the counter. */
  public boolean isAwaitingCounter() {
    return awaitingPermit || awaitingUnits;
  }

  /**
   * Returns whether the plan earns more from a unit over quota than that unit costs, and has no
   * hard limit.
   */
  public boolean mayExceedQuota() {
    return account.plan().overQuotaRevenue() > account.plan().overQuotaCost()
        && !account.hardLimit().isSet();
  }
}
