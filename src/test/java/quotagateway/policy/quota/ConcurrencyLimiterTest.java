package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.event.Status;
import quotagateway.policy.quota.ConcurrencyLimiter.PermitReply;
import quotagateway.policy.settings.Plan;

/** Permits of a plan with two open requests. */
class ConcurrencyLimiterTest {

  private static final int MANY_GATEWAYS = 5;

  private final QuotaFixture fixture = new QuotaFixture(MANY_GATEWAYS, true);
  private final ConcurrencyLimiter limiter =
      new ConcurrencyLimiter(fixture.context, new PendingCounterCalls(fixture.context));
  private final CustomerAccount account = fixture.account(QuotaFixture.CONCURRENCY, MANY_GATEWAYS);
  private final QuotaReservation reservation = new QuotaReservation("r", account, 1, 1);

  @Test
  void anEvenSplitNeedsNoCall() {
    CustomerAccount few = fixture.account(QuotaFixture.CONCURRENCY, 2);
    assertFalse(limiter.needsSharedPermit(few));
    assertTrue(limiter.tryAcquireLocally(few));
    few.attemptStarted();
    assertFalse(limiter.tryAcquireLocally(few), "one of two permits is this gateway's");
    few.attemptEnded();
    assertTrue(limiter.tryAcquireLocally(few));
  }

  @Test
  void aPlanWithoutALimitNeedsNoPermit() {
    CustomerAccount unlimited = fixture.account(QuotaFixture.BUCKET, MANY_GATEWAYS);
    assertFalse(limiter.needsSharedPermit(unlimited));
    for (int i = 0; i < 100; i++) {
      assertTrue(limiter.tryAcquireLocally(unlimited));
      unlimited.attemptStarted();
    }
  }

  @Test
  void aSharedPermitIsAskedForWhileThisGatewayHasNotAllOfThem() {
    assertTrue(limiter.needsSharedPermit(account));
    account.attemptStarted();
    account.attemptStarted();
    assertFalse(limiter.needsSharedPermit(account));
    QuotaFixture withoutCounter = new QuotaFixture(MANY_GATEWAYS, false);
    assertFalse(
        new ConcurrencyLimiter(
                withoutCounter.context, new PendingCounterCalls(withoutCounter.context))
            .needsSharedPermit(withoutCounter.account(QuotaFixture.CONCURRENCY, MANY_GATEWAYS)));
  }

  /** With many gateways most requests are a customer's first; then the rate of starts decides. */
  @Test
  void withMoreGatewaysThanPermitsRequestsFollowEachOtherSlowly() {
    assertTrue(limiter.tryAcquireLocally(account), "a first request is admitted");
    assertFalse(limiter.tryAcquireLocally(account));
    fixture.pass(249);
    account.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertFalse(limiter.tryAcquireLocally(account));
    fixture.pass(2);
    account.advance(QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(
        limiter.tryAcquireLocally(account), "2 permits, 10 requests a second each, 5 gateways");
  }

  @Test
  void aGrantedPermitIsReleasedAtTheEndAndOnlyOnce() {
    limiter.acquirePermit(reservation);
    assertEquals(1, fixture.onlyCall().amount());
    String counterName = fixture.onlyCall().counterName();
    fixture.pass(2);
    assertEquals(PermitReply.GRANTED, limiter.onReply(reservation, Status.OK, 2));
    assertTrue(fixture.calls().isEmpty());
    limiter.end(reservation);
    assertEquals(-1, fixture.onlyCall().amount());
    assertEquals(counterName, fixture.onlyCall().counterName());
    limiter.end(reservation);
    assertEquals(1, fixture.calls().size());
  }

  @Test
  void aPermitBeyondTheLimitIsReleasedAtOnce() {
    limiter.acquirePermit(reservation);
    fixture.pass(2);
    assertEquals(PermitReply.EXHAUSTED, limiter.onReply(reservation, Status.OK, 3));
    assertEquals(-1, fixture.onlyCall().amount());
  }

  /** It is not known whether it has a permit, which the reply then shows. */
  @Test
  void aRequestThatEndsBeforeTheReplyReleasesWithTheReply() {
    limiter.acquirePermit(reservation);
    fixture.pass(2);
    limiter.end(reservation);
    assertTrue(fixture.calls().isEmpty());
    assertEquals(PermitReply.NOT_AWAITED, limiter.onReply(reservation, Status.OK, 1));
    assertEquals(-1, fixture.onlyCall().amount());
  }

  @Test
  void aFailedCallMayHaveTakenAPermitUnlessItProvesOtherwise() {
    limiter.acquirePermit(reservation);
    fixture.pass(30);
    assertEquals(PermitReply.UNKNOWN, limiter.onReply(reservation, Status.TIMED_OUT, 0));
    limiter.end(reservation);
    assertEquals(-1, fixture.onlyCall().amount(), "it may have been added");

    QuotaReservation rejected = new QuotaReservation("s", account, 1, 1);
    limiter.acquirePermit(rejected);
    fixture.pass(30);
    assertEquals(PermitReply.UNKNOWN, limiter.onReply(rejected, Status.REJECTED, 0));
    limiter.end(rejected);
    assertTrue(fixture.calls().isEmpty(), "nothing was added");
  }

  /** It was admitted without the reply, and goes on; its permit is released when it ends. */
  @Test
  void aReplyThatComesTooLateDecidesNothing() {
    limiter.acquirePermit(reservation);
    reservation.awaitingPermit = false;
    fixture.pass(100);
    assertEquals(PermitReply.NOT_AWAITED, limiter.onReply(reservation, Status.OK, 9));
    assertTrue(fixture.calls().isEmpty());
    limiter.end(reservation);
    assertEquals(-1, fixture.onlyCall().amount());
  }

  @Test
  void countsOfPermitsBeginAnewEveryTenSeconds() {
    limiter.acquirePermit(reservation);
    String first = fixture.onlyCall().counterName();
    fixture.pass(9_999);
    limiter.acquirePermit(new QuotaReservation("s", account, 1, 1));
    assertEquals(first, fixture.onlyCall().counterName());
    fixture.pass(1);
    limiter.acquirePermit(new QuotaReservation("t", account, 1, 1));
    assertFalse(first.equals(fixture.onlyCall().counterName()));
  }

  @Test
  void moreGatewaysThanPermitsLeaveEachAtLeastOne() {
    Plan one = new Plan("one", 0, 0, 1, 1, 0, 1, 0, 0, 0);
    CustomerAccount alone = fixture.account(one, MANY_GATEWAYS);
    assertTrue(limiter.tryAcquireLocally(alone));
    alone.attemptStarted();
    assertFalse(limiter.tryAcquireLocally(alone));
  }
}
