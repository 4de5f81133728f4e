package quotagateway.policy.quota;

/** What a customer's shared count and this gateway's own record of its use differ by. */
final class CounterSettlement {

  /** Units to be added to the shared count with the next call; negative to take units off. */
  private double unsettledUnits;

  /** Units that calls without a reply may have added to the shared count. */
  private double unconfirmedUnits;

  /** Estimates of the requests whose calls are under way. */
  private double inFlightUnits;

  double inFlightUnits() {
    return inFlightUnits;
  }

  /**
   * Begins a call that settles all that is unsettled.
   *
   * @param askedUnits what the call adds for the request that waits for it
   * @return what the call adds in all
   */
  double beginCall(double askedUnits) {
    double settledUnits = unsettledUnits;
    inFlightUnits += askedUnits;
    unsettledUnits = 0;
    return askedUnits + settledUnits;
  }

  /** Ends the wait for a call that asked for so many units. */
  void endCall(double askedUnits) {
    inFlightUnits -= askedUnits;
  }

  /** Has the next call add so many units; negative ones are taken off. */
  void addUnsettled(double units) {
    unsettledUnits += units;
  }

  /** Notes units that a call without a reply may have added. */
  void addUnconfirmed(double units) {
    unconfirmedUnits += units;
  }

  /**
   * Finds the unconfirmed units in the growth of a total: those that it has room for were added.
   *
   * @param growthUnits growth beyond what the call with this total added
   * @param settleMissing whether the others are to be added with the next call
   * @return how many were added
   */
  double confirm(double growthUnits, boolean settleMissing) {
    double confirmedUnits = Math.min(unconfirmedUnits, Math.max(0, growthUnits));
    double missingUnits = unconfirmedUnits - confirmedUnits;
    unconfirmedUnits = 0;
    if (settleMissing) {
      unsettledUnits += missingUnits;
    }
    return confirmedUnits;
  }
}
