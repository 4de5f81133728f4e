package quotagateway.policy.quota;

/**
 * Rates at which a customer uses units per second, through this gateway and through its peers. The
 * rates are exponentially weighted means, updated with each reply of the counter.
 */
final class UseRates {

  /** Minimum time over which a rate is measured. */
  private static final double MIN_SECONDS = 0.001;

  private double peerUnitsPerSecond;
  private double localUnitsPerSecond;

  /** Units admitted by this gateway since the last reply. */
  private double localUnitsSinceReply;

  /** Creates rates that start from an assumed peer rate and a local rate of 0. */
  UseRates(double assumedPeerUnitsPerSecond) {
    peerUnitsPerSecond = assumedPeerUnitsPerSecond;
  }

  double peerUnitsPerSecond() {
    return peerUnitsPerSecond;
  }

  double localUnitsPerSecond() {
    return localUnitsPerSecond;
  }

  /** Records units that this gateway has admitted. */
  void recordLocalUse(double units) {
    localUnitsSinceReply += units;
  }

  /**
   * Updates the rates after a reply of the counter.
   *
   * @param peerUnits units used through the other gateways
   * @param measuredMs time in which the units were used
   * @param ageMs time by which the old rates have aged
   * @param lifetimeMs age at which the old rates keep 1/e of their weight
   */
  void update(double peerUnits, double measuredMs, double ageMs, double lifetimeMs) {
    double oldWeight = Math.exp(-ageMs / lifetimeMs);
    double seconds = Math.max(MIN_SECONDS, measuredMs / 1000);
    peerUnitsPerSecond =
        Math.max(0, oldWeight * peerUnitsPerSecond + (1 - oldWeight) * peerUnits / seconds);
    localUnitsPerSecond =
        oldWeight * localUnitsPerSecond + (1 - oldWeight) * localUnitsSinceReply / seconds;
    localUnitsSinceReply = 0;
  }
}
