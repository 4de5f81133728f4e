package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The two parts of a hard limit: 20 units and half of a slack of 2, with 4 units a second. */
class HardLimitTest {

  private static final double ENOUGH_SECONDS = 60;

  private final QuotaFixture fixture = new QuotaFixture(10, true);

  private HardLimit full(int gateways) {
    HardLimit limit = new HardLimit(fixture.context, QuotaFixture.HARD_LIMIT, gateways);
    limit.refill(ENOUGH_SECONDS);
    return limit;
  }

  /** A gateway that starts may follow one that has just used the limit up. */
  @Test
  void beginsEmptyAndRefillsByItsRate() {
    HardLimit limit = new HardLimit(fixture.context, QuotaFixture.HARD_LIMIT, 2);
    assertFalse(limit.tryAcquire(1, true));
    limit.refill(0.5);
    assertTrue(limit.tryAcquire(1, false), "half of 4 units a second, in half a second");
    assertFalse(limit.tryAcquire(1, false));
  }

  @Test
  void twoGatewaysHaveHalfEachAndShareNothing() {
    HardLimit limit = full(2);
    assertTrue(limit.tryAcquire(10.5, true), "half of 21");
    assertFalse(limit.tryAcquire(0.1, true));
  }

  /** Four gateways: each largest request of 4 fits locally, which takes 16 of 20 units. */
  @Test
  void onlyConfirmedRequestsDrawOnTheSharedPart() {
    HardLimit limit = full(4);
    assertFalse(limit.tryAcquire(4.25, false), "the local part is 21 * 0.8 / 4, or 4.2");
    assertTrue(limit.tryAcquire(4.1, true), "the shared part is 21 * 0.2, or 4.2");
    assertTrue(limit.tryAcquire(4.1, false), "the local part was not touched");
    assertFalse(limit.tryAcquire(0.15, false));
    assertFalse(limit.tryAcquire(0.15, true));
  }

  @Test
  void confirmedRequestsFallBackOnTheLocalPart() {
    HardLimit limit = full(4);
    assertTrue(limit.tryAcquire(4.1, true));
    assertTrue(limit.tryAcquire(4.1, true));
    assertFalse(limit.tryAcquire(0.15, true));
  }

  @Test
  void whatPeersUseIsTakenOffTheSharedPart() {
    HardLimit limit = full(4);
    limit.recordPeerUse(4);
    assertTrue(limit.tryAcquire(4.1, false));
    assertFalse(limit.tryAcquire(0.25, true));
    assertTrue(limit.tryAcquire(0.15, true));
  }

  /** Peers may use what is returned to the count, so the local part has to pay for it. */
  @Test
  void returnedUnitsAreCoveredByTheLocalPart() {
    HardLimit limit = full(4);
    assertEquals(3, limit.deductReturnedUnits(3));
    assertEquals(1.2, limit.deductReturnedUnits(3), 1e-9, "no more than the local part has");
    assertFalse(limit.tryAcquire(0.1, false));
  }

  @Test
  void returnsNeedNoCoverWhereNothingIsShared() {
    HardLimit limit = full(2);
    assertEquals(30, limit.deductReturnedUnits(30));
    assertTrue(limit.tryAcquire(10.5, false));
    HardLimit none = new HardLimit(fixture.context, QuotaFixture.BUCKET, 4);
    assertEquals(30, none.deductReturnedUnits(30));
    assertTrue(none.tryAcquire(1_000, false), "no hard limit bounds nothing");
  }
}
