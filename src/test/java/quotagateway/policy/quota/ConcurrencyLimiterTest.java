package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.event.Status;
import quotagateway.policy.quota.ConcurrencyLimiter.PermitReply;
import quotagateway.policy.settings.Plan;

/** Tests {@link ConcurrencyLimiter} with a plan that allows two open requests. */
class ConcurrencyLimiterTest {

  private static final int MANY_GATEWAYS = 5;

  private final QuotaFixture fixture = new QuotaFixture(MANY_GATEWAYS, true);
  private final ConcurrencyLimiter limiter =
      new ConcurrencyLimiter(fixture.context, new PendingCounterCalls(fixture.context));
  private final CustomerAccount account = fixture.account(QuotaFixture.CONCURRENCY, MANY_GATEWAYS);
  private final QuotaReservation reservation = new QuotaReservation("r", account, 1, 1);

  @Test
  void admitsFromEvenShareWithoutCall() {
    CustomerAccount fewGatewaysAccount = fixture.account(QuotaFixture.CONCURRENCY, 2);
    assertFalse(limiter.needsSharedPermit(fewGatewaysAccount));
    assertTrue(limiter.tryAcquireLocally(fewGatewaysAccount));
    fewGatewaysAccount.recordAttemptStart();
    assertFalse(
        limiter.tryAcquireLocally(fewGatewaysAccount),
        "one of two permits belongs to this gateway");
    fewGatewaysAccount.recordAttemptEnd();
    assertTrue(limiter.tryAcquireLocally(fewGatewaysAccount));
  }

  @Test
  void needsNoPermitWithoutConcurrencyLimit() {
    CustomerAccount unlimited = fixture.account(QuotaFixture.BUCKET, MANY_GATEWAYS);
    assertFalse(limiter.needsSharedPermit(unlimited));
    for (int i = 0; i < 100; i++) {
      assertTrue(limiter.tryAcquireLocally(unlimited));
      unlimited.recordAttemptStart();
    }
  }

  @Test
  void needsSharedPermitUntilThisGatewayHoldsAllPermits() {
    assertTrue(limiter.needsSharedPermit(account));
    account.recordAttemptStart();
    account.recordAttemptStart();
    assertFalse(limiter.needsSharedPermit(account));
    QuotaFixture withoutCounter = new QuotaFixture(MANY_GATEWAYS, false);
    assertFalse(
        new ConcurrencyLimiter(
                withoutCounter.context, new PendingCounterCalls(withoutCounter.context))
            .needsSharedPermit(withoutCounter.account(QuotaFixture.CONCURRENCY, MANY_GATEWAYS)));
  }

  /**
   * With more gateways than permits, most requests are a customer's first one at their gateway, so
   * the rate of starts limits them.
   */
  @Test
  void limitsStartRateWithMoreGatewaysThanPermits() {
    assertTrue(limiter.tryAcquireLocally(account), "a first request is admitted");
    assertFalse(limiter.tryAcquireLocally(account));
    fixture.advanceTime(249);
    account.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertFalse(limiter.tryAcquireLocally(account));
    fixture.advanceTime(2);
    account.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(
        limiter.tryAcquireLocally(account), "2 permits, 10 requests per second each, 5 gateways");
  }

  @Test
  void releasesGrantedPermitOnceWhenRequestEnds() {
    limiter.acquirePermit(reservation);
    assertEquals(1, fixture.singleCall().amount());
    String counterName = fixture.singleCall().counterName();
    fixture.advanceTime(2);
    assertEquals(PermitReply.GRANTED, limiter.onReply(reservation, Status.OK, 2));
    assertTrue(fixture.calls().isEmpty());
    limiter.end(reservation);
    assertEquals(-1, fixture.singleCall().amount());
    assertEquals(counterName, fixture.singleCall().counterName());
    limiter.end(reservation);
    assertEquals(1, fixture.calls().size());
  }

  @Test
  void releasesPermitImmediatelyWhenTotalExceedsLimit() {
    limiter.acquirePermit(reservation);
    fixture.advanceTime(2);
    assertEquals(PermitReply.EXHAUSTED, limiter.onReply(reservation, Status.OK, 3));
    assertEquals(-1, fixture.singleCall().amount());
  }

  /** Before the reply it is unknown whether the request has a permit to release. */
  @Test
  void releasesPermitOnReplyWhenRequestEndedBeforeReply() {
    limiter.acquirePermit(reservation);
    fixture.advanceTime(2);
    limiter.end(reservation);
    assertTrue(fixture.calls().isEmpty());
    assertEquals(PermitReply.NOT_AWAITED, limiter.onReply(reservation, Status.OK, 1));
    assertEquals(-1, fixture.singleCall().amount());
  }

  @Test
  void releasesPermitAfterFailedCallUnlessProvenNotExecuted() {
    limiter.acquirePermit(reservation);
    fixture.advanceTime(30);
    assertEquals(PermitReply.UNKNOWN, limiter.onReply(reservation, Status.TIMED_OUT, 0));
    limiter.end(reservation);
    assertEquals(-1, fixture.singleCall().amount(), "the permit may have been counted");

    QuotaReservation rejected = new QuotaReservation("s", account, 1, 1);
    limiter.acquirePermit(rejected);
    fixture.advanceTime(30);
    assertEquals(PermitReply.UNKNOWN, limiter.onReply(rejected, Status.REJECTED, 0));
    limiter.end(rejected);
    assertTrue(fixture.calls().isEmpty(), "no permit was counted");
  }

  /** The request was admitted without the reply. Its permit is released when it ends. */
  @Test
  void ignoresLateReplyAndReleasesPermitAtEnd() {
    limiter.acquirePermit(reservation);
    reservation.awaitingPermit = false;
    fixture.advanceTime(100);
    assertEquals(PermitReply.NOT_AWAITED, limiter.onReply(reservation, Status.OK, 9));
    assertTrue(fixture.calls().isEmpty());
    limiter.end(reservation);
    assertEquals(-1, fixture.singleCall().amount());
  }

  @Test
  void startsNewPermitCountEveryTenSeconds() {
    limiter.acquirePermit(reservation);
    String first = fixture.singleCall().counterName();
    fixture.advanceTime(9_999);
    limiter.acquirePermit(new QuotaReservation("s", account, 1, 1));
    assertEquals(first, fixture.singleCall().counterName());
    fixture.advanceTime(1);
    limiter.acquirePermit(new QuotaReservation("t", account, 1, 1));
    assertFalse(first.equals(fixture.singleCall().counterName()));
  }

  @Test
  void admitsOneRequestPerGatewayWithMoreGatewaysThanPermits() {
    Plan onePermit = new Plan("one", 0, 0, 1, 1, 0, 1, 0, 0, 0);
    CustomerAccount single = fixture.account(onePermit, MANY_GATEWAYS);
    assertTrue(limiter.tryAcquireLocally(single));
    single.recordAttemptStart();
    assertFalse(limiter.tryAcquireLocally(single));
  }
}
