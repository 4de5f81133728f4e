package quotagateway.policy.quota;

import java.util.Optional;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;

/**
 * Checks each request against the limits of its customer's plan: first the concurrency limit, then
 * the rate limit and the hard limit.
 *
 * <p>Normally the gateway adds a request's estimated units to a shared count. The reply contains
 * the total used through all gateways, and the limiter admits the request or rejects it as over
 * quota by that total. If no reply arrives in time, this gateway's replica of the customer's bucket
 * decides. The difference between estimated and charged units is added to the shared count with the
 * next call.
 *
 * <p>This class is larger than others on purpose: it contains all steps of a reservation in the
 * order in which they occur, so that a reader can follow what each step leaves to settle.
 *
 * <p>Each gateway has one instance, owned by the thread of its policy.
 */
public final class QuotaLimiter {

  /** Minimum retry-after time. With a shorter one, clients would only retry immediately. */
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
   * Creates a limiter without any customer accounts.
   *
   * @param context provides the time, the settings and random draws, and collects actions
   * @param backendLoad the state of the backends that decisions depend on in addition to quotas
   */
  public QuotaLimiter(DecisionContext context, BackendLoad backendLoad) {
    this(context, backendLoad, Integer.MAX_VALUE);
  }

  /**
   * Creates a limiter that keeps a limited number of customer accounts.
   *
   * @param context provides the time, the settings and random draws, and collects actions
   * @param backendLoad the state of the backends that decisions depend on in addition to quotas
   * @param maxCustomers most customers to keep an account for, besides those with open requests
   */
  public QuotaLimiter(DecisionContext context, BackendLoad backendLoad, int maxCustomers) {
    this.context = context;
    this.backendLoad = backendLoad;
    accounts = new CustomerAccounts(context, maxCustomers);
    pendingCalls = new PendingCounterCalls(context);
    throttle = new CounterCallThrottle(context);
    concurrencyLimiter = new ConcurrencyLimiter(context, pendingCalls);
  }

  /**
   * Opens a reservation for a request that was just received. The reservation holds neither units
   * nor a permit yet.
   *
   * @param request the received request
   * @param classPriorityWeight the priority weight of the request's class
   */
  public QuotaReservation open(RequestReceived request, double classPriorityWeight) {
    CustomerAccount account = accounts.forRequest(request, backendLoad.meanServiceMs());
    account.recordRequestStart();
    return new QuotaReservation(request.requestId(), account, request.units(), classPriorityWeight);
  }

  /** Decides on a request, or calls the counter for it and returns a pending decision. */
  public QuotaDecision acquire(QuotaReservation reservation) {
    if (concurrencyLimiter.needsSharedPermit(reservation.account) && throttle.tryAcquireCall()) {
      concurrencyLimiter.acquirePermit(reservation);
      return PENDING;
    }
    return acquireWithLocalPermit(reservation);
  }

  /** Decides on a request whose counter reply has not arrived in time, without that reply. */
  public QuotaDecision decideWithoutReply(QuotaReservation reservation) {
    if (reservation.awaitingPermit) {
      reservation.awaitingPermit = false;
      return acquireWithLocalPermit(reservation);
    }
    reservation.awaitingUnits = false;
    return decide(reservation, false);
  }

  /**
   * Processes a reply of the counter.
   *
   * @param reply the reply
   * @param gatewayStalled whether this gateway has just stalled, so that the stall may have caused
   *     a failure
   * @return the decision on the request that waits for this reply; empty if no request waits for it
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

  /**
   * Adjusts the charge of a request to the units that the backend charged. Does nothing if {@code
   * chargedUnits} is 0, which means unknown.
   */
  public void settle(QuotaReservation reservation, double chargedUnits) {
    if (reservation.charged && chargedUnits > 0) {
      CustomerAccount account = reservation.account;
      account.advance(backendLoad.meanServiceMs());
      double correction = chargedUnits - reservation.estimatedUnits;
      if (correction < 0) {
        correction = -account.hardLimit().deductReturnedUnits(-correction);
      }
      account.correctCharge(correction);
    }
  }

  /** Returns the units of a request for which no attempt was started. */
  public void refund(QuotaReservation reservation) {
    if (reservation.charged) {
      reservation.account.correctCharge(-reservation.estimatedUnits);
      reservation.charged = false;
    }
  }

  /**
   * Ends the wait for the units of a request whose client has disconnected, so that a later reply
   * does not admit it.
   */
  public void cancelWait(QuotaReservation reservation) {
    reservation.awaitingUnits = false;
  }

  /**
   * Ends the reservation of a request that gets no further attempt, and releases its concurrency
   * permit.
   */
  public void end(QuotaReservation reservation) {
    if (!reservation.ended) {
      reservation.account.recordRequestEnd();
    }
    concurrencyLimiter.end(reservation);
  }

  /** Records that a backend has received an attempt's complete request and is processing it. */
  public void recordAttemptStart(QuotaReservation reservation) {
    accounts.markUsed(reservation.account);
    reservation.account.recordAttemptStart();
  }

  /** Records the end of an attempt that was recorded as started. */
  public void recordAttemptEnd(QuotaReservation reservation) {
    reservation.account.recordAttemptEnd();
  }

  /** Applies the plans of newly loaded settings. Units that were already used remain used. */
  public void applySettings() {
    accounts.applySettings(backendLoad.meanServiceMs());
  }

  /**
   * Shares the hard limits with the other processes of this gateway. What has been refilled so far
   * was by the number before.
   */
  public void changeProcesses(int processes) {
    accounts.advance(backendLoad.meanServiceMs());
    context.changeProcesses(processes);
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
      case GRANTED -> replyDecision(reservation, acquireUnits(reservation));
      case EXHAUSTED -> replyDecision(reservation, overConcurrencyLimit());
      case UNKNOWN -> replyDecision(reservation, acquireWithLocalPermit(reservation));
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
    if (account.isKnownExhausted(reservation.estimatedUnits)) {
      return overQuota(reservation);
    }
    if (!throttle.tryAcquireCall()) {
      return decide(reservation, false);
    }
    submitUnitsCall(reservation);
    return PENDING;
  }

  private void submitUnitsCall(QuotaReservation reservation) {
    CustomerAccount account = reservation.account;
    reservation.awaitingUnits = true;
    reservation.unitsCallPending = true;
    reservation.requestedUnits = account.unitsToRequest(reservation.estimatedUnits);
    long window = account.windows().windowAt(context.nowMs());
    double units = account.settlement().beginCall(reservation.requestedUnits);
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
    if (isBrokenConnection(status) && reservation.awaitingUnits && !reservation.rereadTotal) {
      rereadTotal(reply.counterName(), call);
      return Optional.empty();
    }
    account.settlement().endCall(reservation.requestedUnits);
    throttle.recordOutcome(status, gatewayStalled);
    boolean mayBeCounted = reservation.rereadTotal || !status.provesNotExecuted();
    if (status == Status.OK) {
      account.recordTotal(call.window(), call.units(), reservation.requestedUnits, reply.total());
    } else if (mayBeCounted) {
      account.settlement().addUnconfirmed(call.units());
    } else {
      account.settlement().addUnsettled(call.units() - reservation.requestedUnits);
    }
    reservation.unitsCallPending = false;
    if (!reservation.awaitingUnits) {
      settleLateReply(reservation, mayBeCounted);
      return Optional.empty();
    }
    reservation.awaitingUnits = false;
    reservation.unitsCounted = mayBeCounted && reservation.requestedUnits > 0;
    return replyDecision(reservation, decide(reservation, status == Status.OK));
  }

  private static Optional<CounterReplyDecision> replyDecision(
      QuotaReservation reservation, QuotaDecision decision) {
    return Optional.of(new CounterReplyDecision(reservation.requestId, decision));
  }

  /** Settles the shared count with the decision that was made before the reply arrived. */
  private static void settleLateReply(QuotaReservation reservation, boolean mayBeCounted) {
    double chargedUnits = reservation.charged ? reservation.estimatedUnits : 0;
    double countedUnits = mayBeCounted ? reservation.requestedUnits : 0;
    reservation.account.settlement().addUnsettled(chargedUnits - countedUnits);
  }

  /**
   * Returns whether the connection broke or its response could not be read. Neither shows the state
   * of the counter, which may have added the amount.
   */
  private static boolean isBrokenConnection(Status status) {
    return status == Status.MALFORMED_RESPONSE || status == Status.RESET;
  }

  /**
   * Reads the total once more and treats the first call as unconfirmed: the growth of the total
   * shows whether the amount was added.
   *
   * <p>Without this, connections that break or return malformed data would leave requests to the
   * replica although the counter works and is reachable over another connection. The drawback is
   * one additional call for each call whose connection broke.
   */
  private void rereadTotal(String counterName, PendingCounterCalls.UnitsCall call) {
    call.reservation().rereadTotal = true;
    call.account().settlement().addUnconfirmed(call.units());
    pendingCalls.submit(
        counterName,
        0,
        new PendingCounterCalls.UnitsCall(call.account(), call.reservation(), call.window(), 0));
  }

  /**
   * Decides by the available units and charges them if the request is admitted. Without a reply,
   * units requested by other pending calls are not available, fixed windows admit no more than this
   * gateway's share of the quota, and the backends must have more spare capacity.
   *
   * @param confirmed whether the counter has replied with a total for this request
   */
  private QuotaDecision decide(QuotaReservation reservation, boolean confirmed) {
    CustomerAccount account = reservation.account;
    double units = reservation.estimatedUnits;
    boolean unconfirmed = hasSharedCounter() && !confirmed;
    boolean hasUnits = availableUnitsFor(reservation, confirmed) >= units;
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

  private static double availableUnitsFor(QuotaReservation reservation, boolean confirmed) {
    CustomerAccount account = reservation.account;
    if (confirmed || account.usesFixedWindow()) {
      return account.availableUnits();
    }
    double ownRequestedUnits = reservation.unitsCallPending ? reservation.requestedUnits : 0;
    return account.availableUnits() - account.settlement().inFlightUnits() + ownRequestedUnits;
  }

  /**
   * Rejects a request at its customer's concurrency limit. An open request is expected to end, and
   * to free its permit, within about one service time.
   */
  private QuotaDecision overConcurrencyLimit() {
    return new QuotaDecision.OverQuota(backendLoad.meanServiceMs());
  }

  /**
   * Rejects a request until its missing units are expected to be refilled. If the plan has no rate,
   * the retry-after time is the same as at a concurrency limit.
   */
  private QuotaDecision overQuota(QuotaReservation reservation) {
    CustomerAccount account = reservation.account;
    double unitsPerSecond = account.plan().unitsPerSecond();
    if (unitsPerSecond <= 0) {
      return overConcurrencyLimit();
    }
    double missingUnits = reservation.estimatedUnits - account.availableUnits();
    return new QuotaDecision.OverQuota(
        Math.max(MIN_RETRY_AFTER_MS, missingUnits / unitsPerSecond * 1000));
  }

  private boolean hasSharedCounter() {
    return context.settings().capabilities().sharedCounter();
  }
}
