package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.settings.Plan;

/** Tests the replica of a bucket of 10 units, and fixed windows of 10 units, with two gateways. */
class CustomerAccountTest {

  private static final double EXACT = 1e-9;

  private final QuotaFixture fixture = new QuotaFixture(2, true);
  private final CustomerAccount account = fixture.account(QuotaFixture.BUCKET, 2);

  private void advanceTime(double ms) {
    fixture.advanceTime(ms);
    account.advance(QuotaFixture.MEAN_SERVICE_MS);
  }

  private long currentWindow() {
    return account.windows().windowAt(fixture.nowMs());
  }

  /** Records a total of the current window for a call that added nothing. */
  private void recordTotalOfRead(double totalUnits) {
    account.recordTotal(currentWindow(), 0, 0, totalUnits);
  }

  @Test
  void startsWithBurstAndSubtractsChargedUnits() {
    assertEquals(10, account.availableUnits(), EXACT);
    account.charge(4);
    assertEquals(6, account.availableUnits(), EXACT);
    account.correctCharge(-3);
    assertEquals(9, account.availableUnits(), EXACT);
    assertEquals(
        1 - 3,
        account.settlement().beginCall(1),
        EXACT,
        "the call subtracts 3 units from the count");
  }

  @Test
  void refillsUpToBurst() {
    account.charge(4);
    advanceTime(60_000);
    assertEquals(10, account.availableUnits(), EXACT);
  }

  /** Before any reply, the peer is assumed to use its half of the refill. */
  @Test
  void refillsByOwnShareOfRateBeforeFirstReply() {
    account.charge(8);
    advanceTime(1_000);
    assertEquals(2 + 1, account.availableUnits(), 0.2, "half of 2 units per second");
  }

  @Test
  void subtractsUnitsAddedByPeers() {
    recordTotalOfRead(5);
    account.charge(1);
    advanceTime(1);
    double before = account.availableUnits();
    account.recordTotal(currentWindow(), 1, 1, 5 + 1 + 3);
    assertEquals(before - 3, account.availableUnits(), 0.01);
  }

  /** A counter that restarts loses its counts. Customers must not get a second burst from that. */
  @Test
  void returnsNoUnitsWhenCounterLostItsCounts() {
    recordTotalOfRead(100);
    double before = account.availableUnits();
    advanceTime(1);
    recordTotalOfRead(2);
    assertEquals(before - 2, account.availableUnits(), 0.01);
  }

  @Test
  void isKnownExhaustedUntilRecheckInterval() {
    recordTotalOfRead(200);
    assertTrue(account.isKnownExhausted(1));
    advanceTime(399);
    assertTrue(account.isKnownExhausted(4));
    advanceTime(1);
    assertFalse(account.isKnownExhausted(4), "peers may have returned units after 400 ms");
  }

  @Test
  void countsInFlightUnitsAsUsedWhenCheckingExhaustion() {
    recordTotalOfRead(0);
    account.charge(7);
    assertFalse(account.isKnownExhausted(3));
    account.settlement().beginCall(1);
    assertTrue(account.isKnownExhausted(3));
  }

  /** The peers were assumed to use a part of the refill; the total shows that they did not. */
  @Test
  void returnsAssumedPeerUnitsThatWereNotUsed() {
    recordTotalOfRead(0);
    account.charge(8);
    advanceTime(1_000);
    recordTotalOfRead(1.5);
    assertEquals(2 + 2 - 1.5, account.availableUnits(), EXACT);
    advanceTime(1_000);
    assertTrue(account.availableUnits() < 4.4, "the assumed peer use is 0.27 units per second");
    recordTotalOfRead(1.5);
    assertEquals(2.5 + 2, account.availableUnits(), EXACT);
  }

  /**
   * Peers that use more than the complete rate must not take this gateway's share of the refill.
   */
  @Test
  void keepsOwnShareOfRefillDespiteHeavyPeerUse() {
    account.recordTotal(currentWindow(), 0, 0, 1_000);
    double before = account.availableUnits();
    advanceTime(1_000);
    assertTrue(account.availableUnits() > before);
  }

  @Test
  void subtractsPeerUseFromHardLimit() {
    QuotaFixture fourGateways = new QuotaFixture(4, true);
    CustomerAccount limited = fourGateways.account(QuotaFixture.HARD_LIMIT, 4);
    fourGateways.advanceTime(60_000);
    limited.advance(QuotaFixture.MEAN_SERVICE_MS);
    limited.recordTotal(limited.windows().windowAt(fourGateways.nowMs()), 0, 0, 4);
    assertTrue(limited.hardLimit().tryAcquire(4.1, true), "the local part is 21 * 0.8 / 4");
    assertFalse(limited.hardLimit().tryAcquire(0.25, true), "the shared part had 4.2");
    assertTrue(limited.hardLimit().tryAcquire(0.15, true));
  }

  @Test
  void requestsNoUnitsWhenBucketHasTooFew() {
    account.charge(8);
    assertEquals(2, account.unitsToRequest(2));
    assertEquals(0, account.unitsToRequest(3));
  }

  /** The next total shows whether a call without a reply added its 3 units. */
  @Test
  void settlesUnconfirmedUnitsMissingFromTotal() {
    account.settlement().addUnconfirmed(3);
    recordTotalOfRead(3);
    assertEquals(0, account.settlement().beginCall(0), EXACT);
    account.settlement().addUnconfirmed(3);
    recordTotalOfRead(4);
    assertEquals(
        2, account.settlement().beginCall(0), EXACT, "2 of 3 units have to be added again");
  }

  @Test
  void reducesAvailableUnitsToBurstOfSmallerPlan() {
    Plan smaller = new Plan("bucket", 2, 6, 0, 1, 0, 1, 0, 0, 0);
    account.changePlan(smaller, QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(6, account.availableUnits(), EXACT);
    account.charge(5);
    account.changePlan(QuotaFixture.BUCKET, QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(1, account.availableUnits(), EXACT, "used units remain used");
  }

  @Test
  void splitsBucketAmongGatewaysWithoutSharedCounter() {
    QuotaFixture withoutCounter = new QuotaFixture(2, false);
    CustomerAccount split = withoutCounter.account(QuotaFixture.BUCKET, 2);
    assertEquals(5, split.availableUnits(), EXACT);
    split.charge(5);
    withoutCounter.advanceTime(1_000);
    split.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(1, split.availableUnits(), EXACT);
  }

  @Test
  void limitsGatewaysOfCustomerToGatewayCount() {
    assertEquals(2, fixture.account(QuotaFixture.BUCKET, 99).gateways());
    assertEquals(1, fixture.account(QuotaFixture.BUCKET, 0).gateways());
  }

  // Fixed windows

  @Test
  void usesFixedWindowsWhenBucketRefillsSlowly() {
    assertFalse(account.usesFixedWindow(), "a refill takes 5 s, a window lasts 25 s");
    assertTrue(
        fixture.account(QuotaFixture.FIXED_WINDOW, 2).usesFixedWindow(), "a refill takes 20 s");
    assertFalse(
        new QuotaFixture(2, false).account(QuotaFixture.FIXED_WINDOW, 2).usesFixedWindow(),
        "fixed windows need a shared counter");
  }

  /**
   * With 30 gateways the maximum window length is 2.5 s. This is shorter than one refill, so the
   * window lasts one refill.
   */
  @Test
  void shortensWindowsWithMoreGateways() {
    CustomerAccount rateLimited = new QuotaFixture(30, true).account(QuotaFixture.BUCKET, 30);
    assertTrue(rateLimited.usesFixedWindow());
    double lengthMs = rateLimited.windows().startMs(1) - rateLimited.windows().startMs(0);
    assertEquals(5_000, lengthMs, EXACT);
    CustomerAccount limited = new QuotaFixture(30, true).account(QuotaFixture.HARD_LIMIT, 30);
    assertFalse(limited.usesFixedWindow(), "a plan with a hard limit uses the longest window");
  }

  @Test
  void allowsOneBurstPerFixedWindow() {
    CustomerAccount fixed = fixture.account(QuotaFixture.FIXED_WINDOW, 2);
    long window = fixed.windows().windowAt(fixture.nowMs());
    fixed.recordTotal(window, 3, 3, 9);
    assertEquals(
        10 - (9 - 3),
        fixed.availableUnits(),
        EXACT,
        "the 3 units of the waiting request are not subtracted");
    fixed.recordTotal(window, 0, 0, 10);
    assertTrue(fixed.isKnownExhausted(0.5));
    fixture.advanceTime(fixed.windows().startMs(window + 1) - fixture.nowMs());
    fixed.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(10, fixed.availableUnits(), 0.01);
    assertFalse(fixed.isKnownExhausted(0.5));
  }

  /** Before any reply, the customer is assumed to use half of its rate through other gateways. */
  @Test
  void subtractsExpectedPeerUseFromFixedWindow() {
    CustomerAccount fixed = fixture.account(QuotaFixture.FIXED_WINDOW, 2);
    long window = fixed.windows().windowAt(fixture.nowMs());
    fixture.advanceTime(1_000);
    fixed.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(window, fixed.windows().windowAt(fixture.nowMs()), "the window is unchanged");
    assertEquals(10 - 0.25, fixed.availableUnits(), EXACT);
  }

  /** No reply is needed to detect an exhausted window if the estimate exceeds the burst by half. */
  @Test
  void isKnownExhaustedWhenEstimatedHalfABurstOverdrawn() {
    CustomerAccount fixed = fixture.account(QuotaFixture.FIXED_WINDOW, 2);
    fixed.charge(15);
    assertFalse(fixed.isKnownExhausted(1));
    fixed.charge(0.1);
    assertTrue(fixed.isKnownExhausted(1));
  }
}
