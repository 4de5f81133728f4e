package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests rates whose old values keep 1/e of their weight over one lifetime. */
class UseRatesTest {

  private static final double LIFETIME_MS = 5_000;
  private static final double EXACT = 1e-9;

  private final UseRates rates = new UseRates(4);

  @Test
  void startsWithAssumedPeerRate() {
    assertEquals(4, rates.peerUnitsPerSecond());
    assertEquals(0, rates.localUnitsPerSecond());
  }

  @Test
  void replacesOldRatesAsTheyAge() {
    rates.update(10, 1_000, LIFETIME_MS, LIFETIME_MS);
    assertEquals(10 + (4 - 10) / Math.E, rates.peerUnitsPerSecond(), EXACT);
    rates.update(10, 1_000, 100 * LIFETIME_MS, LIFETIME_MS);
    assertEquals(10, rates.peerUnitsPerSecond(), EXACT);
  }

  @Test
  void countsLocalUseOnlyInNextUpdate() {
    rates.recordLocalUse(2);
    rates.recordLocalUse(4);
    rates.update(0, 2_000, 100 * LIFETIME_MS, LIFETIME_MS);
    assertEquals(3, rates.localUnitsPerSecond(), EXACT);
    rates.update(0, 2_000, 100 * LIFETIME_MS, LIFETIME_MS);
    assertEquals(0, rates.localUnitsPerSecond(), EXACT);
  }

  /** Returned units or an emptied count must not lead to a negative rate. */
  @Test
  void keepsPeerRateNonNegative() {
    rates.update(-100, 1_000, LIFETIME_MS, LIFETIME_MS);
    assertEquals(0, rates.peerUnitsPerSecond());
  }
}
