package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.settings.Plan;

/** The replica of a bucket of 10 units, or a fixed window of 10, through two gateways. */
class CustomerAccountTest {

  private static final double EXACT = 1e-9;

  private final QuotaFixture fixture = new QuotaFixture(2, true);
  private final CustomerAccount account = fixture.account(QuotaFixture.BUCKET, 2);

  private void pass(double ms) {
    fixture.pass(ms);
    account.advance(QuotaFixture.MEAN_SERVICE_MS);
  }

  private long window() {
    return account.windows().windowAt(fixture.nowMs());
  }

  /** Reads the total in the present window, without adding to it. */
  private void read(double totalUnits) {
    account.recordTotal(window(), 0, 0, totalUnits);
  }

  @Test
  void beginsWithABurstAndTakesOffWhatItAdmits() {
    assertEquals(10, account.availableUnits(), EXACT);
    account.charge(4);
    assertEquals(6, account.availableUnits(), EXACT);
    account.correctCharge(-3);
    assertEquals(9, account.availableUnits(), EXACT);
    assertEquals(
        1 - 3, account.settlement().beginCall(1), EXACT, "3 units are taken off the count");
  }

  @Test
  void refillsNoFurtherThanABurst() {
    account.charge(4);
    pass(60_000);
    assertEquals(10, account.availableUnits(), EXACT);
  }

  /** Nothing is known of the peers: they are taken to use their half of the refill. */
  @Test
  void refillsByItsOwnShareOfTheRate() {
    account.charge(8);
    pass(1_000);
    assertEquals(2 + 1, account.availableUnits(), 0.2, "half of 2 units a second");
  }

  @Test
  void takesOffWhatPeersAddedToTheCount() {
    read(5);
    account.charge(1);
    pass(1);
    double before = account.availableUnits();
    account.recordTotal(window(), 1, 1, 5 + 1 + 3);
    assertEquals(before - 3, account.availableUnits(), 0.01);
  }

  /** A counter that restarts has lost its counts; that must not be a second burst. */
  @Test
  void anEmptiedCountReturnsNoUnits() {
    read(100);
    double before = account.availableUnits();
    pass(1);
    read(2);
    assertEquals(before - 2, account.availableUnits(), 0.01);
  }

  @Test
  void isKnownExhaustedWhileNothingCanHaveComeBack() {
    read(200);
    assertTrue(account.isKnownExhausted(1));
    pass(399);
    assertTrue(account.isKnownExhausted(4));
    pass(1);
    assertFalse(account.isKnownExhausted(4), "peers may have returned units by now");
  }

  @Test
  void unitsThatOthersWaitForCountAsUsedThere() {
    read(0);
    account.charge(7);
    assertFalse(account.isKnownExhausted(3));
    account.settlement().beginCall(1);
    assertTrue(account.isKnownExhausted(3));
  }

  /** The peers were taken to use a part of the refill; the total shows that they did not. */
  @Test
  void whatPeersWereAssumedToUseComesBackIfTheyDidNot() {
    read(0);
    account.charge(8);
    pass(1_000);
    read(1.5);
    assertEquals(2 + 2 - 1.5, account.availableUnits(), EXACT);
    pass(1_000);
    assertTrue(account.availableUnits() < 4.4, "peers are assumed to go on: with 0.27 a second");
    read(1.5);
    assertEquals(2.5 + 2, account.availableUnits(), EXACT);
  }

  /** Peers that use more than the whole rate cannot take this gateway's share of the refill. */
  @Test
  void heavyUseByPeersLeavesTheRefillOfThisGateway() {
    account.recordTotal(window(), 0, 0, 1_000);
    double before = account.availableUnits();
    pass(1_000);
    assertTrue(account.availableUnits() > before);
  }

  @Test
  void whatPeersUseIsTakenOffTheHardLimitToo() {
    QuotaFixture four = new QuotaFixture(4, true);
    CustomerAccount limited = four.account(QuotaFixture.HARD_LIMIT, 4);
    four.pass(60_000);
    limited.advance(QuotaFixture.MEAN_SERVICE_MS);
    limited.recordTotal(limited.windows().windowAt(four.nowMs()), 0, 0, 4);
    assertTrue(limited.hardLimit().tryAcquire(4.1, true), "the local part: 21 * 0.8 / 4");
    assertFalse(limited.hardLimit().tryAcquire(0.25, true), "the shared part had 4.2");
    assertTrue(limited.hardLimit().tryAcquire(0.15, true));
  }

  @Test
  void asksForNothingWhereTheBucketHasNoRoom() {
    account.charge(8);
    assertEquals(2, account.unitsToRequest(2));
    assertEquals(0, account.unitsToRequest(3));
  }

  /** The call without a reply added 3 units if the next total has room for them. */
  @Test
  void aTotalShowsWhetherAnUnconfirmedCallWasAdded() {
    account.settlement().addUnconfirmed(3);
    read(3);
    assertEquals(0, account.settlement().beginCall(0), EXACT);
    account.settlement().addUnconfirmed(3);
    read(4);
    assertEquals(2, account.settlement().beginCall(0), EXACT, "2 of 3 have to be added again");
  }

  @Test
  void aSmallerPlanCutsWhatIsAvailable() {
    Plan smaller = new Plan("bucket", 2, 6, 0, 1, 0, 1, 0, 0, 0);
    account.changePlan(smaller, QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(6, account.availableUnits(), EXACT);
    account.charge(5);
    account.changePlan(QuotaFixture.BUCKET, QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(1, account.availableUnits(), EXACT, "what was used stays used");
  }

  @Test
  void withoutASharedCounterTheBucketIsSplit() {
    QuotaFixture alone = new QuotaFixture(2, false);
    CustomerAccount split = alone.account(QuotaFixture.BUCKET, 2);
    assertEquals(5, split.availableUnits(), EXACT);
    split.charge(5);
    alone.pass(1_000);
    split.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(1, split.availableUnits(), EXACT);
  }

  @Test
  void noMoreGatewaysCountThanThereAre() {
    assertEquals(2, fixture.account(QuotaFixture.BUCKET, 99).gateways());
    assertEquals(1, fixture.account(QuotaFixture.BUCKET, 0).gateways());
  }

  // Fixed windows

  @Test
  void aBucketThatRefillsSlowlyHasFixedWindows() {
    assertFalse(account.usesFixedWindow(), "a refill takes 5 s, a window 25 s");
    assertTrue(fixture.account(QuotaFixture.FIXED_WINDOW, 2).usesFixedWindow(), "20 s");
    assertFalse(
        new QuotaFixture(2, false).account(QuotaFixture.FIXED_WINDOW, 2).usesFixedWindow(),
        "there are no counts without a counter");
  }

  /** With 30 gateways a window has 2.5 s: less than a refill, so it becomes one refill. */
  @Test
  void moreGatewaysMakeWindowsShorter() {
    CustomerAccount one = new QuotaFixture(30, true).account(QuotaFixture.BUCKET, 30);
    assertTrue(one.usesFixedWindow());
    double lengthMs = one.windows().startMs(1) - one.windows().startMs(0);
    assertEquals(5_000, lengthMs, EXACT);
    CustomerAccount limited = new QuotaFixture(30, true).account(QuotaFixture.HARD_LIMIT, 30);
    assertFalse(limited.usesFixedWindow(), "a hard limit is followed over the longest window");
  }

  @Test
  void aFixedWindowAllowsOneBurstAndTheNextOneAnother() {
    CustomerAccount fixed = fixture.account(QuotaFixture.FIXED_WINDOW, 2);
    long window = fixed.windows().windowAt(fixture.nowMs());
    fixed.recordTotal(window, 3, 3, 9);
    assertEquals(10 - (9 - 3), fixed.availableUnits(), EXACT, "beside the 3 that are waiting");
    fixed.recordTotal(window, 0, 0, 10);
    assertTrue(fixed.isKnownExhausted(0.5));
    fixture.pass(fixed.windows().startMs(window + 1) - fixture.nowMs());
    fixed.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(10, fixed.availableUnits(), 0.01);
    assertFalse(fixed.isKnownExhausted(0.5));
  }

  /** Nothing is known yet: the customer is taken to use half of its rate elsewhere. */
  @Test
  void expectedUseIsTakenOffAFixedWindow() {
    CustomerAccount fixed = fixture.account(QuotaFixture.FIXED_WINDOW, 2);
    long window = fixed.windows().windowAt(fixture.nowMs());
    fixture.pass(1_000);
    fixed.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(window, fixed.windows().windowAt(fixture.nowMs()), "still the same window");
    assertEquals(10 - 0.25, fixed.availableUnits(), EXACT);
  }

  /** A total that is too large is not needed to know it: half a burst over is enough. */
  @Test
  void anEstimateHalfABurstOverShowsAnExhaustedWindow() {
    CustomerAccount fixed = fixture.account(QuotaFixture.FIXED_WINDOW, 2);
    fixed.charge(15);
    assertFalse(fixed.isKnownExhausted(1));
    fixed.charge(0.1);
    assertTrue(fixed.isKnownExhausted(1));
  }
}
