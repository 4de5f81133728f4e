package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the two parts of a hard limit of 20 units, plus half of a slack of 2, with 4 units per
 * second.
 */
class HardLimitTest {

  private static final double ENOUGH_SECONDS = 60;

  private final QuotaFixture fixture = new QuotaFixture(10, true);

  private HardLimit full(int gateways) {
    HardLimit limit = new HardLimit(fixture.context, QuotaFixture.HARD_LIMIT, gateways);
    limit.refill(ENOUGH_SECONDS);
    return limit;
  }

  /** A gateway that starts may replace one that has just used up the limit. */
  @Test
  void startsEmptyAndRefillsAtItsRate() {
    HardLimit limit = new HardLimit(fixture.context, QuotaFixture.HARD_LIMIT, 2);
    assertFalse(limit.tryAcquire(1, true));
    limit.refill(0.5);
    assertTrue(limit.tryAcquire(1, false), "half of 4 units per second, for half a second");
    assertFalse(limit.tryAcquire(1, false));
  }

  /**
   * During an upgrade the old and the new process each had the whole part of their gateway, so that
   * a customer could spend its hard limit twice.
   */
  @Test
  void twoProcessesOfOneGatewayShareItsPart() {
    HardLimit limit = full(1);
    fixture.context.changeProcesses(2);
    limit.refill(0);
    assertTrue(limit.tryAcquire(10.5, false), "half of 21");
    assertFalse(limit.tryAcquire(0.1, false));
    limit.refill(1);
    assertTrue(limit.tryAcquire(2, false), "half of 4 units per second");
    assertFalse(limit.tryAcquire(0.1, false));
  }

  @Test
  void splitsBucketEvenlyBetweenTwoGateways() {
    HardLimit limit = full(2);
    assertTrue(limit.tryAcquire(10.5, true), "half of 21");
    assertFalse(limit.tryAcquire(0.1, true));
  }

  /**
   * Each of the four local parts has room for a request of the maximum size of 4 units, which uses
   * 16 of the 20 units.
   */
  @Test
  void allowsSharedPartOnlyForConfirmedRequests() {
    HardLimit limit = full(4);
    assertFalse(limit.tryAcquire(4.25, false), "the local part is 21 * 0.8 / 4, or 4.2");
    assertTrue(limit.tryAcquire(4.1, true), "the shared part is 21 * 0.2, or 4.2");
    assertTrue(limit.tryAcquire(4.1, false), "the local part is still full");
    assertFalse(limit.tryAcquire(0.15, false));
    assertFalse(limit.tryAcquire(0.15, true));
  }

  @Test
  void usesLocalPartForConfirmedRequestsWhenSharedPartIsEmpty() {
    HardLimit limit = full(4);
    assertTrue(limit.tryAcquire(4.1, true));
    assertTrue(limit.tryAcquire(4.1, true));
    assertFalse(limit.tryAcquire(0.15, true));
  }

  @Test
  void subtractsPeerUseFromSharedPart() {
    HardLimit limit = full(4);
    limit.recordPeerUse(4);
    assertTrue(limit.tryAcquire(4.1, false));
    assertFalse(limit.tryAcquire(0.25, true));
    assertTrue(limit.tryAcquire(0.15, true));
  }

  /** Peers may use the units returned to the shared count, so the local part has to cover them. */
  @Test
  void deductsReturnedUnitsFromLocalPart() {
    HardLimit limit = full(4);
    assertEquals(3, limit.deductReturnedUnits(3));
    assertEquals(
        1.2, limit.deductReturnedUnits(3), 1e-9, "at most as many units as the local part has");
    assertFalse(limit.tryAcquire(0.1, false));
  }

  @Test
  void deductsNoReturnedUnitsWithoutSharedPart() {
    HardLimit limit = full(2);
    assertEquals(30, limit.deductReturnedUnits(30));
    assertTrue(limit.tryAcquire(10.5, false));
    HardLimit none = new HardLimit(fixture.context, QuotaFixture.BUCKET, 4);
    assertEquals(30, none.deductReturnedUnits(30));
    assertTrue(none.tryAcquire(1_000, false), "without a hard limit, nothing is limited");
  }
}
