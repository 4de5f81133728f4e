package quotagateway.policy.quota;

/** Difference between a customer's shared count and this gateway's record of its own use. */
final class CounterSettlement {

  /** Units to add to the shared count with the next call; negative units are subtracted. */
  private double unsettledUnits;

  /** Units that calls without a reply may have added to the shared count. */
  private double unconfirmedUnits;

  /** Estimated units of the requests whose calls have no reply yet. */
  private double inFlightUnits;

  double inFlightUnits() {
    return inFlightUnits;
  }

  /**
   * Begins a call that also adds all unsettled units.
   *
   * @param requestedUnits the units that the call adds for the request that waits for it
   * @return the units that the call adds in total
   */
  double beginCall(double requestedUnits) {
    double settledUnits = unsettledUnits;
    inFlightUnits += requestedUnits;
    unsettledUnits = 0;
    return requestedUnits + settledUnits;
  }

  /** Ends a call that was begun with the same {@code requestedUnits}. */
  void endCall(double requestedUnits) {
    inFlightUnits -= requestedUnits;
  }

  /** Schedules units to be added with the next call; negative units are subtracted. */
  void addUnsettled(double units) {
    unsettledUnits += units;
  }

  /** Records units that a call without a reply may have added. */
  void addUnconfirmed(double units) {
    unconfirmedUnits += units;
  }

  /**
   * Determines from the growth of a total how many unconfirmed units were added: as many as the
   * growth accounts for.
   *
   * @param growthUnits growth beyond what the call that returned the total added
   * @param settleMissing whether the remaining unconfirmed units are added with the next call
   * @return the units that were added
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
