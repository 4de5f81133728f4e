package quotagateway.policy.quota;

/**
 * What one request has of its customer's quota, or waits for, from its arrival to its end. Changed
 * by {@link QuotaLimiter} and {@link ConcurrencyLimiter} alone, on the thread of the policy.
 */
public final class QuotaReservation {

  final String requestId;
  final CustomerAccount account;

  /** Estimated units of the request. */
  final double units;

  private final double classPriorityWeight;

  // Units.

  /** It waits for the reply to the call that adds its units. */
  boolean awaitingUnits;

  /** The call that adds its units has no reply yet, whether or not the request still waits. */
  boolean unitsCallPending;

  /** Units that this call adds for it: its estimate, or 0. */
  double askedUnits;

  /** The total is being read a second time, as the first call broke with its connection. */
  boolean readAgain;

  /** Its units are, or may be, in the shared count. */
  boolean unitsCounted;

  /** Its units are charged to its customer. */
  boolean charged;

  // Concurrency permit.

  /** The count in which it has, or may have, a permit; null where it has none. */
  String permitCounterName;

  /** It waits for the reply to the call for a permit. */
  boolean awaitingPermit;

  /** The call for a permit has no reply yet, whether or not the request still waits. */
  boolean permitCallPending;

  /** No attempt will follow. */
  boolean ended;

  QuotaReservation(
      String requestId, CustomerAccount account, double units, double classPriorityWeight) {
    this.requestId = requestId;
    this.account = account;
    this.units = units;
    this.classPriorityWeight = classPriorityWeight;
  }

  /** The priority weight of its class, times the factor of its customer's plan. */
  public double priorityWeight() {
    return classPriorityWeight * account.plan().priorityFactor();
  }

  /** Whether it waits for a reply of the counter. */
  public boolean isAwaitingCounter() {
    return awaitingPermit || awaitingUnits;
  }

  /**
   * Whether its plan earns more by a unit over quota than that costs, and has no hard limit that it
   * would break.
   */
  public boolean mayExceedQuota() {
    return account.plan().overQuotaRevenue() > account.plan().overQuotaCost()
        && !account.hardLimit().isSet();
  }
}
