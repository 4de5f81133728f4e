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

/** Tests the decisions on single requests of one customer. */
class QuotaLimiterTest {

  private static final double EXACT = 1e-9;
  private static final Plan UNLIMITED = new Plan("unlimited", 0, 0, 0, 1, 0, 1, 0, 0, 0);

  private QuotaFixture fixture = new QuotaFixture(2, true);
  private QuotaLimiter limiter = new QuotaLimiter(fixture.context, fixture);
  private int requestCount;

  private QuotaReservation open(Plan plan, double units) {
    return limiter.open(fixture.request("r" + requestCount++, plan, 42, units), 1);
  }

  /** Opens a request whose decision waits for the reply to the only call of the current event. */
  private QuotaReservation pending(Plan plan, double units) {
    fixture.advanceTime(1);
    QuotaReservation reservation = open(plan, units);
    assertInstanceOf(PendingCounterReply.class, limiter.acquire(reservation));
    assertTrue(reservation.isAwaitingCounter());
    return reservation;
  }

  /**
   * Replies to the only call of the current event. Failures are reported as if this gateway had
   * stalled, so that they do not affect the call throttle, which has its own test.
   */
  private Optional<CounterReplyDecision> reply(Status status, double total) {
    IncrementCounter call = fixture.singleCall();
    fixture.advanceTime(2);
    return limiter.onCounterReplied(
        new CounterReplied(call.counterName(), status, total, 2), status != Status.OK);
  }

  private void assertDecides(
      Class<? extends QuotaDecision> kind, Optional<CounterReplyDecision> decision) {
    assertInstanceOf(kind, decision.orElseThrow().decision());
    assertEquals("r" + (requestCount - 1), decision.orElseThrow().requestId());
  }

  /**
   * Returns the units that the next call adds for a request of one unit: that unit and all
   * unsettled units.
   */
  private double nextCallAdds() {
    pending(QuotaFixture.BUCKET, 1);
    return fixture.singleCall().amount();
  }

  @Test
  void admitsRequestOnReplyWithinQuota() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
    assertEquals(3, fixture.singleCall().amount());
    assertDecides(Admitted.class, reply(Status.OK, 3));
    assertFalse(reservation.isAwaitingCounter());
  }

  @Test
  void rejectsRequestAndSubtractsItsUnitsWhenTotalExceedsQuota() {
    pending(QuotaFixture.BUCKET, 3);
    Optional<CounterReplyDecision> decision = reply(Status.OK, 200);
    assertDecides(OverQuota.class, decision);
    fixture.advanceTime(500);
    pending(QuotaFixture.BUCKET, 1);
    assertEquals(
        -3,
        fixture.singleCall().amount(),
        EXACT,
        "the call adds nothing for the request, as the bucket is empty");
  }

  @Test
  void advisesRetryAfterMissingUnitsAreRefilled() {
    QuotaReservation first = pending(QuotaFixture.BUCKET, 4);
    reply(Status.OK, 4);
    QuotaReservation second = pending(QuotaFixture.BUCKET, 4);
    reply(Status.OK, 8);
    limiter.settle(first, 4);
    limiter.settle(second, 4);
    QuotaDecision decision = limiter.acquire(open(QuotaFixture.BUCKET, 4));
    OverQuota rejected = assertInstanceOf(OverQuota.class, decision, "2 of 10 units are left");
    assertEquals(1_000, rejected.retryAfterMs(), 20, "2 missing units at 2 units per second");
  }

  /** If the advice depended on the rate, the client would retry too early and be rejected again. */
  @Test
  void advisesRetryAfterServiceTimeAtConcurrencyLimit() {
    QuotaFixture withoutCounter = new QuotaFixture(1, false);
    QuotaLimiter localLimiter = new QuotaLimiter(withoutCounter.context, withoutCounter);
    Plan plan = QuotaFixture.RATE_AND_CONCURRENCY;
    QuotaDecision decision = null;
    for (int i = 0; i < 3; i++) {
      QuotaReservation reservation =
          localLimiter.open(withoutCounter.request("r" + i, plan, 42, 1), 1);
      decision = localLimiter.acquire(reservation);
      localLimiter.recordAttemptStart(reservation);
    }
    OverQuota rejected =
        assertInstanceOf(OverQuota.class, decision, "two requests are already open");
    assertEquals(QuotaFixture.MEAN_SERVICE_MS, rejected.retryAfterMs());
  }

  @Test
  void admitsWithoutCallWhenPlanHasNoRateAndNoLimits() {
    CustomerAccount account = fixture.account(UNLIMITED, 2);
    QuotaReservation reservation = new QuotaReservation("r", account, 1_000, 1);
    assertInstanceOf(Admitted.class, limiter.acquire(reservation));
    assertTrue(fixture.calls().isEmpty());
  }

  @Test
  void rejectsWithoutCallWhenCustomerIsKnownExhausted() {
    pending(QuotaFixture.BUCKET, 3);
    reply(Status.OK, 200);
    fixture.advanceTime(10);
    assertInstanceOf(OverQuota.class, limiter.acquire(open(QuotaFixture.BUCKET, 3)));
    assertTrue(fixture.calls().isEmpty());
  }

  @Test
  void decidesByReplicaWithoutSharedCounter() {
    fixture = new QuotaFixture(2, false);
    limiter = new QuotaLimiter(fixture.context, fixture);
    assertInstanceOf(Admitted.class, limiter.acquire(open(QuotaFixture.BUCKET, 4)));
    assertInstanceOf(
        OverQuota.class,
        limiter.acquire(open(QuotaFixture.BUCKET, 4)),
        "this gateway's share is 5 units");
    assertTrue(fixture.calls().isEmpty());
  }

  // Replies that do not arrive in time

  @Test
  void decidesByReplicaWhenWaitEnds() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
    fixture.advanceTime(50);
    assertInstanceOf(Admitted.class, limiter.decideWithoutReply(reservation));
    assertFalse(reservation.isAwaitingCounter());
  }

  /** Without this, two requests would be admitted with the same units. */
  @Test
  void excludesUnitsOfOtherPendingCallsWithoutReply() {
    QuotaReservation first = pending(QuotaFixture.BUCKET, 6);
    QuotaReservation second = pending(QuotaFixture.BUCKET, 6);
    assertInstanceOf(OverQuota.class, limiter.decideWithoutReply(second));
    assertInstanceOf(
        OverQuota.class, limiter.decideWithoutReply(first), "both calls have no reply yet");
  }

  @Test
  void ignoresLateReplyAndAddsUnitsOnlyOnce() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
    IncrementCounter call = fixture.singleCall();
    fixture.advanceTime(50);
    limiter.decideWithoutReply(reservation);
    CounterReplied late = new CounterReplied(call.counterName(), Status.OK, 3, 60);
    assertTrue(limiter.onCounterReplied(late, false).isEmpty());
    assertEquals(1, nextCallAdds(), EXACT);
  }

  @Test
  void subtractsUnitsOfLateReplyForEndedRequest() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
    IncrementCounter call = fixture.singleCall();
    fixture.advanceTime(50);
    limiter.cancelWait(reservation);
    assertFalse(reservation.isAwaitingCounter());
    limiter.end(reservation);
    CounterReplied late = new CounterReplied(call.counterName(), Status.OK, 3, 60);
    assertTrue(limiter.onCounterReplied(late, false).isEmpty());
    assertEquals(1 - 3, nextCallAdds(), EXACT);
  }

  @Test
  void addsUnitsWithNextCallWhenFailedCallAddedNothing() {
    pending(QuotaFixture.BUCKET, 3);
    assertDecides(Admitted.class, reply(Status.REJECTED, 0));
    assertEquals(1 + 3, nextCallAdds(), EXACT);
  }

  /**
   * The next total shows whether the units were added. Until then they are neither added nor
   * subtracted again.
   */
  @Test
  void addsNothingAgainWhenFailedCallMayHaveAddedUnits() {
    pending(QuotaFixture.BUCKET, 3);
    assertDecides(Admitted.class, reply(Status.TIMED_OUT, 0));
    assertEquals(1, nextCallAdds(), EXACT);
  }

  /**
   * A broken connection does not show the state of the counter, which may still reply over another
   * connection.
   */
  @Test
  void rereadsTotalOnceAfterBrokenConnection() {
    for (Status broken : new Status[] {Status.RESET, Status.MALFORMED_RESPONSE}) {
      fixture = new QuotaFixture(2, true);
      limiter = new QuotaLimiter(fixture.context, fixture);
      QuotaReservation reservation = pending(QuotaFixture.BUCKET, 3);
      assertTrue(reply(broken, 0).isEmpty());
      assertEquals(
          0,
          fixture.singleCall().amount(),
          "the units may have been added, so the second call only reads");
      assertTrue(reservation.isAwaitingCounter());
      assertDecides(Admitted.class, reply(broken, 0));
      assertTrue(fixture.calls().isEmpty());
    }
  }

  @Test
  void addsUnitsWithNextCallWhenRereadShowsTheyWereNotAdded() {
    pending(QuotaFixture.BUCKET, 3);
    reply(Status.RESET, 0);
    assertDecides(Admitted.class, reply(Status.OK, 0));
    assertEquals(1 + 3, nextCallAdds(), EXACT);
  }

  @Test
  void addsNothingAgainWhenRereadShowsUnitsWereAdded() {
    pending(QuotaFixture.BUCKET, 3);
    reply(Status.RESET, 0);
    assertDecides(Admitted.class, reply(Status.OK, 3));
    assertEquals(1, nextCallAdds(), EXACT);
  }

  /** Unlike in a bucket, the units of a rejected request remain in the count of a fixed window. */
  @Test
  void keepsUnitsOfRejectedRequestInFixedWindow() {
    pending(QuotaFixture.FIXED_WINDOW, 3);
    assertDecides(OverQuota.class, reply(Status.OK, 12));
    fixture.advanceTime(25_000);
    pending(QuotaFixture.FIXED_WINDOW, 1);
    assertEquals(1, fixture.singleCall().amount(), EXACT);
  }

  @Test
  void ignoresReplyWithoutPendingCall() {
    CounterReplied unknown = new CounterReplied("nothing", Status.OK, 5, 1);
    assertTrue(limiter.onCounterReplied(unknown, false).isEmpty());
  }

  @Test
  void rejectsUnconfirmedRequestWhenBackendsAreOverloaded() {
    QuotaReservation confirmed = pending(QuotaFixture.BUCKET, 1);
    fixture.overloaded = true;
    assertDecides(Admitted.class, reply(Status.OK, 1));
    limiter.settle(confirmed, 1);
    QuotaReservation unconfirmed = pending(QuotaFixture.BUCKET, 1);
    assertInstanceOf(OverQuota.class, limiter.decideWithoutReply(unconfirmed));
  }

  /**
   * Many gateways may admit unconfirmed requests of a fixed window, but each only up to its share.
   */
  @Test
  void limitsUnconfirmedRequestsOfFixedWindowToLocalShare() {
    QuotaReservation large = pending(QuotaFixture.FIXED_WINDOW, 4);
    assertInstanceOf(
        OverQuota.class,
        limiter.decideWithoutReply(large),
        "the share starts with a random part of the maximum request size");
    fixture.advanceTime(16_000);
    QuotaReservation later = pending(QuotaFixture.FIXED_WINDOW, 4);
    assertInstanceOf(Admitted.class, limiter.decideWithoutReply(later));
  }

  // After the decision

  @Test
  void settlesChargedUnitsWithNextCall() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 2);
    reply(Status.OK, 2);
    limiter.settle(reservation, 4);
    assertEquals(1 + 2, nextCallAdds(), EXACT);
  }

  @Test
  void keepsEstimateWhenChargedUnitsAreUnknown() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 2);
    reply(Status.OK, 2);
    limiter.settle(reservation, 0);
    assertEquals(1, nextCallAdds(), EXACT);
  }

  @Test
  void subtractsRefundedUnitsOnce() {
    QuotaReservation reservation = pending(QuotaFixture.BUCKET, 2);
    reply(Status.OK, 2);
    limiter.refund(reservation);
    limiter.refund(reservation);
    assertEquals(1 - 2, nextCallAdds(), EXACT);
  }

  /**
   * Unneeded units of a hard limit are returned to peers only as far as the local part covers them.
   */
  @Test
  void returnsUnneededHardLimitUnitsOnlyAsFarAsLocalPartCovers() {
    fixture = new QuotaFixture(10, true);
    limiter = new QuotaLimiter(fixture.context, fixture);
    open(QuotaFixture.WIDE_HARD_LIMIT, 4);
    fixture.advanceTime(60_000);
    QuotaReservation confirmed = pending(QuotaFixture.WIDE_HARD_LIMIT, 4);
    assertDecides(Admitted.class, reply(Status.OK, 4));
    QuotaReservation unconfirmed = pending(QuotaFixture.WIDE_HARD_LIMIT, 4);
    assertInstanceOf(
        Admitted.class,
        limiter.decideWithoutReply(unconfirmed),
        "the local part is 210 * 0.2 / 10, or 4.2");
    assertTrue(reply(Status.OK, 8).isEmpty());
    limiter.settle(confirmed, 1);
    pending(QuotaFixture.WIDE_HARD_LIMIT, 1);
    assertEquals(
        0.2,
        1 - fixture.singleCall().amount(),
        0.02,
        "of 3 unneeded units, the local part covers only 0.2");
  }

  // Concurrency limits

  @Test
  void acquiresPermitBeforeUnits() {
    fixture = new QuotaFixture(5, true);
    limiter = new QuotaLimiter(fixture.context, fixture);
    QuotaReservation reservation = pending(QuotaFixture.CONCURRENCY, 1);
    assertEquals(1, fixture.singleCall().amount());
    assertTrue(fixture.singleCall().counterName().contains(":o"));
    assertDecides(Admitted.class, reply(Status.OK, 2));
    limiter.end(reservation);
    assertEquals(-1, fixture.singleCall().amount());
  }

  @Test
  void isOverQuotaForAServiceTimeWithoutPermit() {
    fixture = new QuotaFixture(5, true);
    limiter = new QuotaLimiter(fixture.context, fixture);
    pending(QuotaFixture.CONCURRENCY, 1);
    Optional<CounterReplyDecision> decision = reply(Status.OK, 3);
    assertDecides(OverQuota.class, decision);
    assertEquals(
        new OverQuota(QuotaFixture.MEAN_SERVICE_MS),
        decision.orElseThrow().decision(),
        "a permit is expected within about one service time");
  }

  @Test
  void decidesByLocalShareWhenWaitForPermitEnds() {
    fixture = new QuotaFixture(5, true);
    limiter = new QuotaLimiter(fixture.context, fixture);
    QuotaReservation first = pending(QuotaFixture.CONCURRENCY, 1);
    assertInstanceOf(Admitted.class, limiter.decideWithoutReply(first));
    QuotaReservation second = pending(QuotaFixture.CONCURRENCY, 1);
    assertInstanceOf(OverQuota.class, limiter.decideWithoutReply(second));
  }

  @Test
  void mayExceedQuotaOnlyWhenProfitableWithoutHardLimit() {
    assertFalse(reservationForPlan(0.5, 1, 0).mayExceedQuota());
    assertFalse(reservationForPlan(1, 1, 0).mayExceedQuota());
    assertTrue(reservationForPlan(2, 1, 0).mayExceedQuota());
    assertFalse(reservationForPlan(2, 1, 4).mayExceedQuota());
  }

  private QuotaReservation reservationForPlan(double revenue, double cost, double hardLimit) {
    Plan plan = new Plan("p", 2, 10, 0, 3, revenue, cost, hardLimit, 20, 2);
    QuotaReservation reservation = new QuotaReservation("r", fixture.account(plan, 2), 1, 5);
    assertEquals(3 * 5, reservation.priorityWeight());
    return reservation;
  }
}
