package quotagateway.policy.quota;

import java.util.Optional;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;

/**
 * Checks each request against the limits of its customer's plan: first the concurrency limit, then
 * rate and hard limit.
 *
 * <p>In the ordinary case a request's estimated units are added to a shared count; the reply shows
 * what all gateways have used, and the request is admitted or over quota by that. Without a reply
 * in time, this gateway's replica of the customer's bucket decides. Differences between estimated
 * and charged units are added with the next call.
 *
 * <p>Longer than other classes: a reservation goes through all of its steps here, in the order in
 * which they stand below, so that what each step has left to settle can be followed.
 *
 * <p>One instance for each gateway, owned by the thread of its policy.
 */
public final class QuotaLimiter {

  /** Least advice on when to come back: with less, clients would only ask again at once. */
  private static final double MIN_RETRY_AFTER_MS = 25;

  private static final QuotaDecision ADMITTED = new QuotaDecision.Admitted();
  private static final QuotaDecision PENDING = new QuotaDecision.PendingCounterReply();

  private final DecisionContext context;
  private final BackendLoad backendLoad;
  private final CustomerAccounts accounts;
  private final PendingCounterCalls pendingCalls;
  private final CounterCallThrottle throttle;
  private final ConcurrencyLimiter concurrencyLimiter;

  /**
   * A limiter that has met no customer yet.
   *
   * @param context time, settings, random draws and actions
   * @param backendLoad what decisions depend on beside quotas
   */
  public QuotaLimiter(DecisionContext context, BackendLoad backendLoad) {
    this.context = context;
    this.backendLoad = backendLoad;
    accounts = new CustomerAccounts(context);
    pendingCalls = new PendingCounterCalls(context);
    throttle = new CounterCallThrottle(context);
    concurrencyLimiter = new ConcurrencyLimiter(context, pendingCalls);
  }

  /**
   * Opens the reservation of a request that has come; it holds nothing yet.
   *
   * @param request the request
   * @param classPriorityWeight the priority weight of its class
   */
  public QuotaReservation open(RequestReceived request, double classPriorityWeight) {
    CustomerAccount account = accounts.forRequest(request, backendLoad.meanServiceMs());
    return new QuotaReservation(request.requestId(), account, request.units(), classPriorityWeight);
  }

  /** Decides on a request, or calls the counter for it. */
  public QuotaDecision acquire(QuotaReservation reservation) {
    if (concurrencyLimiter.needsSharedPermit(reservation.account) && throttle.acquireCall()) {
      concurrencyLimiter.acquirePermit(reservation);
      return PENDING;
    }
    return acquireWithLocalPermit(reservation);
  }

  /** Ends the wait of a request for a reply that has not come in time. */
  public QuotaDecision stopWaiting(QuotaReservation reservation) {
    if (reservation.awaitingPermit) {
      reservation.awaitingPermit = false;
      return acquireWithLocalPermit(reservation);
    }
    reservation.awaitingUnits = false;
    return decide(reservation, false);
  }

  /**
   * Takes in a reply of the counter.
   *
   * @param reply the reply
   * @param gatewayStalled whether this gateway has just stalled, so that a failure may be its own
   * @return what it decides, if a request waits for it
   */
  public Optional<CounterReplyDecision> onCounterReplied(
      CounterReplied reply, boolean gatewayStalled) {
    PendingCounterCalls.Call call = pendingCalls.poll(reply.counterName());
    if (call == null) {
      return Optional.empty();
    }
    call.account().advance(backendLoad.meanServiceMs());
    if (call instanceof PendingCounterCalls.UnitsCall unitsCall) {
      return onUnitsReply(unitsCall, reply, gatewayStalled);
    }
    throttle.recordOutcome(reply.status(), gatewayStalled);
    if (call instanceof PendingCounterCalls.PermitAcquisition acquisition) {
      return onPermitReply(acquisition.reservation(), reply);
    }
    return Optional.empty();
  }

  /** Corrects the charge of a request by the units that the backend charged; 0 are unknown. */
  public void settle(QuotaReservation reservation, double chargedUnits) {
    if (reservation.charged && chargedUnits > 0) {
      CustomerAccount account = reservation.account;
      account.advance(backendLoad.meanServiceMs());
      double correction = chargedUnits - reservation.units;
      if (correction < 0) {
        correction = -account.hardLimit().coverReturn(-correction);
      }
      account.correctCharge(correction);
    }
  }

  /** Returns the units of a request of which no attempt was started. */
  public void refund(QuotaReservation reservation) {
    if (reservation.charged) {
      reservation.account.correctCharge(-reservation.units);
      reservation.charged = false;
    }
  }

  /** Ends the wait of a request whose client has gone: a later reply must not admit it. */
  public void cancelWait(QuotaReservation reservation) {
    reservation.awaitingUnits = false;
  }

  /** Ends a reservation, as no attempt will follow: its concurrency permit is free for others. */
  public void end(QuotaReservation reservation) {
    concurrencyLimiter.end(reservation);
  }

  /** Notes that a backend has all of an attempt's request and works on it. */
  public void attemptStarted(QuotaReservation reservation) {
    reservation.account.attemptStarted();
  }

  /** Notes the end of an attempt noted as started. */
  public void attemptEnded(QuotaReservation reservation) {
    reservation.account.attemptEnded();
  }

  /** Applies the plans of settings that have just come into force; what was used stays used. */
  public void applySettings() {
    accounts.applySettings(backendLoad.meanServiceMs());
  }

  private QuotaDecision acquireWithLocalPermit(QuotaReservation reservation) {
    if (concurrencyLimiter.tryAcquireLocally(reservation.account)) {
      return acquireUnits(reservation);
    }
    return overConcurrencyLimit();
  }

  private Optional<CounterReplyDecision> onPermitReply(
      QuotaReservation reservation, CounterReplied reply) {
    return switch (concurrencyLimiter.onReply(reservation, reply.status(), reply.total())) {
      case GRANTED -> decided(reservation, acquireUnits(reservation));
      case EXHAUSTED -> decided(reservation, overConcurrencyLimit());
      case UNKNOWN -> decided(reservation, acquireWithLocalPermit(reservation));
      case NOT_AWAITED -> Optional.empty();
    };
  }

  private QuotaDecision acquireUnits(QuotaReservation reservation) {
    CustomerAccount account = reservation.account;
    if (account.plan().unitsPerSecond() <= 0 && !account.hardLimit().isSet()) {
      return ADMITTED;
    }
    if (!hasSharedCounter()) {
      return decide(reservation, false);
    }
    if (account.isKnownExhausted(reservation.units)) {
      return overQuota(reservation);
    }
    if (!throttle.acquireCall()) {
      return decide(reservation, false);
    }
    callForUnits(reservation);
    return PENDING;
  }

  private void callForUnits(QuotaReservation reservation) {
    CustomerAccount account = reservation.account;
    reservation.awaitingUnits = true;
    reservation.unitsCallPending = true;
    reservation.askedUnits = account.unitsToAsk(reservation.units);
    long window = account.windows().windowAt(context.nowMs());
    double units = account.settlement().beginCall(reservation.askedUnits);
    pendingCalls.submit(
        account.windows().unitsCounterName(window),
        units,
        new PendingCounterCalls.UnitsCall(account, reservation, window, units));
  }

  private Optional<CounterReplyDecision> onUnitsReply(
      PendingCounterCalls.UnitsCall call, CounterReplied reply, boolean gatewayStalled) {
    QuotaReservation reservation = call.reservation();
    CustomerAccount account = call.account();
    Status status = reply.status();
    if (isBrokenConnection(status) && reservation.awaitingUnits && !reservation.readAgain) {
      readAgain(reply.counterName(), call);
      return Optional.empty();
    }
    account.settlement().endCall(reservation.askedUnits);
    throttle.recordOutcome(status, gatewayStalled);
    boolean mayBeCounted = reservation.readAgain || !status.provesNotExecuted();
    if (status == Status.OK) {
      account.recordTotal(call.window(), call.units(), reservation.askedUnits, reply.total());
    } else if (mayBeCounted) {
      account.settlement().addUnconfirmed(call.units());
    } else {
      account.settlement().addUnsettled(call.units() - reservation.askedUnits);
    }
    reservation.unitsCallPending = false;
    if (!reservation.awaitingUnits) {
      settleLateReply(reservation, mayBeCounted);
      return Optional.empty();
    }
    reservation.awaitingUnits = false;
    reservation.unitsCounted = mayBeCounted && reservation.askedUnits > 0;
    return decided(reservation, decide(reservation, status == Status.OK));
  }

  private static Optional<CounterReplyDecision> decided(
      QuotaReservation reservation, QuotaDecision decision) {
    return Optional.of(new CounterReplyDecision(reservation.requestId, decision));
  }

  /** Brings the count in line with what was decided before the reply came. */
  private static void settleLateReply(QuotaReservation reservation, boolean mayBeCounted) {
    double chargedUnits = reservation.charged ? reservation.units : 0;
    double countedUnits = mayBeCounted ? reservation.askedUnits : 0;
    reservation.account.settlement().addUnsettled(chargedUnits - countedUnits);
  }

  /** A broken connection shows nothing of the counter, which may have added the amount. */
  private static boolean isBrokenConnection(Status status) {
    return status == Status.MALFORMED_RESPONSE || status == Status.RESET;
  }

  /**
   * Reads the total once more, as if the reply came late; its growth shows whether the amount was
   * added. Prevents connections that break or bring junk from leaving requests to the replica while
   * the counter works and can be reached over another connection. Cost: one more call for each that
   * broke.
   */
  private void readAgain(String counterName, PendingCounterCalls.UnitsCall call) {
    call.reservation().readAgain = true;
    call.account().settlement().addUnconfirmed(call.units());
    pendingCalls.submit(
        counterName,
        0,
        new PendingCounterCalls.UnitsCall(call.account(), call.reservation(), call.window(), 0));
  }

  /**
   * Decides by the units available, and charges them. Without a reply, units that other requests
   * wait for are not available, fixed windows admit no more than this gateway's part of the quota,
   * and the backends need more spare capacity.
   *
   * @param confirmed whether the counter has replied with a total for this request
   */
  private QuotaDecision decide(QuotaReservation reservation, boolean confirmed) {
    CustomerAccount account = reservation.account;
    double units = reservation.units;
    boolean unconfirmed = hasSharedCounter() && !confirmed;
    boolean hasUnits = unitsFor(reservation, confirmed) >= units;
    if (unconfirmed && account.usesFixedWindow() && !account.localShare().hasUnits(units)) {
      hasUnits = false;
    }
    boolean overRate = account.plan().unitsPerSecond() > 0 && !hasUnits;
    boolean overloaded =
        unconfirmed && backendLoad.isOverloadedForUnconfirmed(reservation.priorityWeight());
    if (overRate || overloaded || !account.hardLimit().tryAcquire(units, confirmed)) {
      if (reservation.unitsCounted && !account.usesFixedWindow()) {
        account.settlement().addUnsettled(-units);
      }
      reservation.unitsCounted = false;
      return overQuota(reservation);
    }
    account.charge(units);
    reservation.charged = true;
    if (!reservation.unitsCounted && !reservation.unitsCallPending) {
      account.settlement().addUnsettled(units);
    }
    return ADMITTED;
  }

  private static double unitsFor(QuotaReservation reservation, boolean confirmed) {
    CustomerAccount account = reservation.account;
    if (confirmed || account.usesFixedWindow()) {
      return account.availableUnits();
    }
    double ownAskedUnits = reservation.unitsCallPending ? reservation.askedUnits : 0;
    return account.availableUnits() - account.settlement().inFlightUnits() + ownAskedUnits;
  }

  /** Expects room for a request when an open one ends, which takes about a service time. */
  private QuotaDecision overConcurrencyLimit() {
    return new QuotaDecision.OverQuota(backendLoad.meanServiceMs());
  }

  /**
   * Expects room for the request when its missing units are refilled; where a plan has no rate, as
   * at a concurrency limit.
   */
  private QuotaDecision overQuota(QuotaReservation reservation) {
    CustomerAccount account = reservation.account;
    double unitsPerSecond = account.plan().unitsPerSecond();
    if (unitsPerSecond <= 0) {
      return overConcurrencyLimit();
    }
    double missingUnits = reservation.units - account.availableUnits();
    return new QuotaDecision.OverQuota(
        Math.max(MIN_RETRY_AFTER_MS, missingUnits / unitsPerSecond * 1000));
  }

  private boolean hasSharedCounter() {
    return context.settings().capabilities().sharedCounter();
  }
}
