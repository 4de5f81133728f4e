package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.Status;
import quotagateway.policy.quota.QuotaDecision.Admitted;
import quotagateway.policy.quota.QuotaDecision.OverQuota;
import quotagateway.policy.quota.QuotaDecision.PendingCounterReply;
import quotagateway.policy.settings.Plan;

/** Decisions about single requests of one customer. */
class QuotaLimiterTest {

  private static final double EXACT = 1e-9;
  private static final Plan UNLIMITED = new Plan("unlimited", 0, 0, 0, 1, 0, 1, 0, 0, 0);

  private QuotaFixture fixture = new QuotaFixture(2, true);
  private QuotaLimiter limiter = new QuotaLimiter(fixture.context, fixture);
  private int requests;

  private QuotaReservation open(Plan plan, double units) {
    return limiter.open(fixture.request("r" + requests++, plan, 42, units), 1);
  }

  /** Opens a request whose quota waits for the reply to the only call of this event. */
  private QuotaReservation pending(Plan plan, double units) {
    fixture.pass(1);
    QuotaReservation reservation = open(plan, units);
    assertInstanceOf(PendingCounterReply.class, limiter.acquire(reservation));
    assertTrue(reservation.isAwaitingCounter());
    return reservation;
  }

  /**
   * Replies to the only call of this event. A failure comes as after a stall of this gateway, which
   * leaves the throttle of calls alone: that has a test of its own.
   */
  private Optional<CounterReplyDecision> reply(Status status, double total) {
    IncrementCounter call = fixture.onlyCall();
    fixture.pass(2);
    return limiter.onCounterReplied(
        new CounterReplied(call.counterName(), status, total, 2), status != Status.OK);
  }

  private void assertDecides(
      Class<? extends QuotaDecision> kind, Optional<CounterReplyDecision> decision) {
    assertInstanceOf(kind, decision.orElseThrow().decision());
    assertEquals("r" + (requests - 1), decision.orElseThrow().requestId());
  }

  /** What the next call would add for a request of one unit: the unit, and all unsettled ones. */
  private double nextCallAdds() {
    pending(QuotaFixture.BUCKET, 1);
    return fixture.onlyCall().amount();
  }

  @Test
  void theReplyToTheCallDecides() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
    assertEquals(3, fixture.onlyCall().amount());
    assertDecides(Admitted.class, reply(Status.OK, 3));
    assertFalse(reservation.isAwaitingCounter());
  }

  @Test
  void aTotalBeyondTheQuotaRejectsAndIsTakenOffAgain() {
    pending(QuotaFixture.BUCKET, 3);
    Optional<CounterReplyDecision> decision = reply(Status.OK, 200);
    assertDecides(OverQuota.class, decision);
    fixture.pass(500);
    pending(QuotaFixture.BUCKET, 1);
    assertEquals(-3, fixture.onlyCall().amount(), EXACT, "it only reads, as the bucket is empty");
  }

  @Test
  void theAdviceIsTheTimeInWhichMissingUnitsAreRefilled() {
    QuotaReservation first = pending(QuotaFixture.BUCKET, 4);
    reply(Status.OK, 4);
    QuotaReservation second = pending(QuotaFixture.BUCKET, 4);
    reply(Status.OK, 8);
    limiter.settle(first, 4);
    limiter.settle(second, 4);
    QuotaDecision decision = limiter.acquire(open(QuotaFixture.BUCKET, 4));
    OverQuota rejected = assertInstanceOf(OverQuota.class, decision, "2 of 10 are left");
    assertEquals(1_000, rejected.retryAfterMs(), 20, "2 more at 2 units a second");
  }

  /** Told to come back as soon as its rate allows, a client would only be rejected again. */
  @Test
  void theAdviceAtAConcurrencyLimitIsTheTimeInWhichARequestEnds() {
    QuotaFixture uncounted = new QuotaFixture(1, false);
    QuotaLimiter ownLimiter = new QuotaLimiter(uncounted.context, uncounted);
    Plan plan = QuotaFixture.RATE_AND_CONCURRENCY;
    QuotaDecision decision = null;
    for (int i = 0; i < 3; i++) {
      QuotaReservation reservation = ownLimiter.open(uncounted.request("r" + i, plan, 42, 1), 1);
      decision = ownLimiter.acquire(reservation);
      ownLimiter.attemptStarted(reservation);
    }
    OverQuota rejected = assertInstanceOf(OverQuota.class, decision, "two are open");
    assertEquals(QuotaFixture.MEAN_SERVICE_MS, rejected.retryAfterMs());
  }

  @Test
  void aPlanWithoutRateAndLimitsNeedsNoCall() {
    CustomerAccount account = fixture.account(UNLIMITED, 2);
    QuotaReservation reservation = new QuotaReservation("r", account, 1_000, 1);
    assertInstanceOf(Admitted.class, limiter.acquire(reservation));
    assertTrue(fixture.calls().isEmpty());
  }

  @Test
  void anExhaustedCustomerIsRejectedWithoutACall() {
    pending(QuotaFixture.BUCKET, 3);
    reply(Status.OK, 200);
    fixture.pass(10);
    assertInstanceOf(OverQuota.class, limiter.acquire(open(QuotaFixture.BUCKET, 3)));
    assertTrue(fixture.calls().isEmpty());
  }

  @Test
  void withoutACounterTheReplicaDecides() {
    fixture = new QuotaFixture(2, false);
    limiter = new QuotaLimiter(fixture.context, fixture);
    assertInstanceOf(Admitted.class, limiter.acquire(open(QuotaFixture.BUCKET, 4)));
    assertInstanceOf(OverQuota.class, limiter.acquire(open(QuotaFixture.BUCKET, 4)), "5 are ours");
    assertTrue(fixture.calls().isEmpty());
  }

  // Replies that do not come in time

  @Test
  void aWaitThatEndsIsDecidedByTheReplica() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
    fixture.pass(50);
    assertInstanceOf(Admitted.class, limiter.stopWaiting(reservation));
    assertFalse(reservation.isAwaitingCounter());
  }

  /** Otherwise two requests would be admitted by the same units. */
  @Test
  void unitsThatOthersWaitForAreNotAvailableWithoutAReply() {
    QuotaReservation first = pending(QuotaFixture.BUCKET, 6);
    QuotaReservation second = pending(QuotaFixture.BUCKET, 6);
    assertInstanceOf(OverQuota.class, limiter.stopWaiting(second));
    assertInstanceOf(OverQuota.class, limiter.stopWaiting(first), "as long as both are under way");
  }

  @Test
  void aReplyThatComesTooLateDecidesNothingAndNothingIsAddedTwice() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
    IncrementCounter call = fixture.onlyCall();
    fixture.pass(50);
    limiter.stopWaiting(reservation);
    CounterReplied late = new CounterReplied(call.counterName(), Status.OK, 3, 60);
    assertTrue(limiter.onCounterReplied(late, false).isEmpty());
    assertEquals(1, nextCallAdds(), EXACT);
  }

  @Test
  void aReplyForARequestThatWasRejectedMeanwhileIsTakenOffAgain() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
    IncrementCounter call = fixture.onlyCall();
    fixture.pass(50);
    limiter.cancelWait(reservation);
    assertFalse(reservation.isAwaitingCounter());
    limiter.end(reservation);
    CounterReplied late = new CounterReplied(call.counterName(), Status.OK, 3, 60);
    assertTrue(limiter.onCounterReplied(late, false).isEmpty());
    assertEquals(1 - 3, nextCallAdds(), EXACT);
  }

  @Test
  void aFailedCallThatAddedNothingIsAddedWithTheNextOne() {
    pending(QuotaFixture.BUCKET, 3);
    assertDecides(Admitted.class, reply(Status.REJECTED, 0));
    assertEquals(1 + 3, nextCallAdds(), EXACT);
  }

  /** Whether it was added shows in the next total; until then it is neither added nor taken off. */
  @Test
  void aFailedCallThatMayHaveAddedIsNotAddedAgain() {
    pending(QuotaFixture.BUCKET, 3);
    assertDecides(Admitted.class, reply(Status.TIMED_OUT, 0));
    assertEquals(1, nextCallAdds(), EXACT);
  }

  /** A connection that breaks says nothing of the counter, which still replies over another. */
  @Test
  void aCallThatBrokeWithItsConnectionIsReadAgainOnce() {
    for (Status broken : new Status[] {Status.RESET, Status.MALFORMED_RESPONSE}) {
      fixture = new QuotaFixture(2, true);
      limiter = new QuotaLimiter(fixture.context, fixture);
      QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
      assertTrue(reply(broken, 0).isEmpty());
      assertEquals(0, fixture.onlyCall().amount(), "it may have been added, so it is only read");
      assertTrue(reservation.isAwaitingCounter());
      assertDecides(Admitted.class, reply(broken, 0));
      assertTrue(fixture.calls().isEmpty());
    }
  }

  @Test
  void theSecondReadingShowsThatTheFirstCallAddedNothing() {
    pending(QuotaFixture.BUCKET, 3);
    reply(Status.RESET, 0);
    assertDecides(Admitted.class, reply(Status.OK, 0));
    assertEquals(1 + 3, nextCallAdds(), EXACT);
  }

  @Test
  void theSecondReadingShowsThatTheFirstCallWasAdded() {
    pending(QuotaFixture.BUCKET, 3);
    reply(Status.RESET, 0);
    assertDecides(Admitted.class, reply(Status.OK, 3));
    assertEquals(1, nextCallAdds(), EXACT);
  }

  /** Unlike in a bucket, what a rejected request added stays in the count of its window. */
  @Test
  void aRejectionInAFixedWindowIsNotTakenOff() {
    pending(QuotaFixture.FIXED_WINDOW, 3);
    assertDecides(OverQuota.class, reply(Status.OK, 12));
    fixture.pass(25_000);
    pending(QuotaFixture.FIXED_WINDOW, 1);
    assertEquals(1, fixture.onlyCall().amount(), EXACT);
  }

  @Test
  void repliesThatNobodyWaitsForAreIgnored() {
    CounterReplied unknown = new CounterReplied("nothing", Status.OK, 5, 1);
    assertTrue(limiter.onCounterReplied(unknown, false).isEmpty());
  }

  @Test
  void loadedBackendsGetNothingUnconfirmed() {
    QuotaReservation confirmed = pending(QuotaFixture.BUCKET, 1);
    fixture.overloaded = true;
    assertDecides(Admitted.class, reply(Status.OK, 1));
    limiter.settle(confirmed, 1);
    QuotaReservation unconfirmed = pending(QuotaFixture.BUCKET, 1);
    assertInstanceOf(OverQuota.class, limiter.stopWaiting(unconfirmed));
  }

  /** Many gateways admit unconfirmed requests of a fixed window; each only its part of it. */
  @Test
  void fixedWindowsAdmitNoMoreThanTheLocalPartUnconfirmed() {
    QuotaReservation large = pending(QuotaFixture.FIXED_WINDOW, 4);
    assertInstanceOf(
        OverQuota.class, limiter.stopWaiting(large), "a random part of a largest request");
    fixture.pass(16_000);
    QuotaReservation later = pending(QuotaFixture.FIXED_WINDOW, 4);
    assertInstanceOf(Admitted.class, limiter.stopWaiting(later));
  }

  // After the decision

  @Test
  void chargedUnitsAreSettledWithTheNextCall() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 2);
    reply(Status.OK, 2);
    limiter.settle(reservation, 4);
    assertEquals(1 + 2, nextCallAdds(), EXACT);
  }

  @Test
  void anUnknownChargeLeavesTheEstimate() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 2);
    reply(Status.OK, 2);
    limiter.settle(reservation, 0);
    assertEquals(1, nextCallAdds(), EXACT);
  }

  @Test
  void aRefundIsTakenOffTheCountOnce() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 2);
    reply(Status.OK, 2);
    limiter.refund(reservation);
    limiter.refund(reservation);
    assertEquals(1 - 2, nextCallAdds(), EXACT);
  }

  /** Unneeded units of a hard limit are given to peers only as far as the local part pays. */
  @Test
  void unneededUnitsOfASharedHardLimitAreReturnedAsFarAsCovered() {
    fixture = new QuotaFixture(10, true);
    limiter = new QuotaLimiter(fixture.context, fixture);
    open(QuotaFixture.WIDE_HARD_LIMIT, 4);
    fixture.pass(60_000);
    QuotaReservation confirmed = pending(QuotaFixture.WIDE_HARD_LIMIT, 4);
    assertDecides(Admitted.class, reply(Status.OK, 4));
    QuotaReservation unconfirmed = pending(QuotaFixture.WIDE_HARD_LIMIT, 4);
    assertInstanceOf(Admitted.class, limiter.stopWaiting(unconfirmed), "of 210 * 0.2 / 10, or 4.2");
    assertTrue(reply(Status.OK, 8).isEmpty());
    limiter.settle(confirmed, 1);
    pending(QuotaFixture.WIDE_HARD_LIMIT, 1);
    assertEquals(0.2, 1 - fixture.onlyCall().amount(), 0.02, "not 3: only 0.2 are left to pay");
  }

  // Concurrency limits

  @Test
  void aPermitComesBeforeTheUnits() {
    fixture = new QuotaFixture(5, true);
    limiter = new QuotaLimiter(fixture.context, fixture);
    QuotaReservation reservation = pending(QuotaFixture.CONCURRENCY, 1);
    assertEquals(1, fixture.onlyCall().amount());
    assertTrue(fixture.onlyCall().counterName().contains(":o"));
    assertDecides(Admitted.class, reply(Status.OK, 2));
    limiter.end(reservation);
    assertEquals(-1, fixture.onlyCall().amount());
  }

  @Test
  void withoutAPermitItIsOverQuotaUntilAnotherEnds() {
    fixture = new QuotaFixture(5, true);
    limiter = new QuotaLimiter(fixture.context, fixture);
    pending(QuotaFixture.CONCURRENCY, 1);
    Optional<CounterReplyDecision> decision = reply(Status.OK, 3);
    assertDecides(OverQuota.class, decision);
    assertEquals(
        new OverQuota(QuotaFixture.MEAN_SERVICE_MS),
        decision.orElseThrow().decision(),
        "in about a service time");
  }

  @Test
  void aWaitForAPermitThatEndsIsDecidedByTheLocalPart() {
    fixture = new QuotaFixture(5, true);
    limiter = new QuotaLimiter(fixture.context, fixture);
    QuotaReservation first = pending(QuotaFixture.CONCURRENCY, 1);
    assertInstanceOf(Admitted.class, limiter.stopWaiting(first));
    QuotaReservation second = pending(QuotaFixture.CONCURRENCY, 1);
    assertInstanceOf(OverQuota.class, limiter.stopWaiting(second));
  }

  @Test
  void onlyPlansThatEarnByItAndHaveNoHardLimitMayExceedTheirQuota() {
    assertFalse(reservationOf(0.5, 1, 0).mayExceedQuota());
    assertFalse(reservationOf(1, 1, 0).mayExceedQuota());
    assertTrue(reservationOf(2, 1, 0).mayExceedQuota());
    assertFalse(reservationOf(2, 1, 4).mayExceedQuota());
  }

  private QuotaReservation reservationOf(double revenue, double cost, double hardLimit) {
    Plan plan = new Plan("p", 2, 10, 0, 3, revenue, cost, hardLimit, 20, 2);
    QuotaReservation reservation = new QuotaReservation("r", fixture.account(plan, 2), 1, 5);
    assertEquals(3 * 5, reservation.priorityWeight());
    return reservation;
  }
}
