package quotagateway.policy.quota;

/**
 * How fast a customer uses its quota, in units a second: through this gateway, and through its
 * peers. Exponentially weighted means, updated with each reply of the counter.
 */
final class UseRates {

  /** Shortest time that a rate is measured over. */
  private static final double MIN_SECONDS = 0.001;

  private double peerUnitsPerSecond;
  private double localUnitsPerSecond;

  /** Units admitted by this gateway since the last reply. */
  private double localUnitsSinceReply;

  /** Rates of which only an assumption about the peers is known. */
  UseRates(double assumedPeerUnitsPerSecond) {
    peerUnitsPerSecond = assumedPeerUnitsPerSecond;
  }

  double peerUnitsPerSecond() {
    return peerUnitsPerSecond;
  }

  double localUnitsPerSecond() {
    return localUnitsPerSecond;
  }

  /** Notes units that this gateway has admitted. */
  void recordLocalUse(double units) {
    localUnitsSinceReply += units;
  }

  /**
   * Takes in what a reply shows.
   *
   * @param peerUnits used through the other gateways
   * @param measuredMs the time in which they were used
   * @param ageMs the time in which the old rates have lost weight
   * @param lifetimeMs after which the old rates keep 1/e of their weight
   */
  void update(double peerUnits, double measuredMs, double ageMs, double lifetimeMs) {
    double keep = Math.exp(-ageMs / lifetimeMs);
    double seconds = Math.max(MIN_SECONDS, measuredMs / 1000);
    peerUnitsPerSecond = Math.max(0, keep * peerUnitsPerSecond + (1 - keep) * peerUnits / seconds);
    localUnitsPerSecond = keep * localUnitsPerSecond + (1 - keep) * localUnitsSinceReply / seconds;
    localUnitsSinceReply = 0;
  }
}
