package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.Status;

/**
 * Limits a customer's open requests over all gateways by permits.
 *
 * <p>If there are at least as many permits as gateways, each gateway has an even share of the
 * permits, which needs no call. Otherwise a permit is acquired by adding 1 to a shared count and
 * released by subtracting 1. If the counter does not reply, the even share decides; it then also
 * limits the rate at which requests start.
 *
 * <p>Each gateway has one instance, owned by the thread of its policy.
 */
final class ConcurrencyLimiter {

  /**
   * Length of the window of a count of permits. A permit of a gateway that was killed is lost until
   * its window ends.
   */
  private static final double PERMIT_WINDOW_MS = 10_000;

  /** Result of a call that acquires a permit. */
  enum PermitReply {
    /** The request has its permit. */
    GRANTED,
    /** All permits are in use. */
    EXHAUSTED,
    /** The call failed, and the even share has to decide. */
    UNKNOWN,
    /** The request no longer waits. */
    NOT_AWAITED
  }

  private final DecisionContext context;
  private final PendingCounterCalls pendingCalls;

  ConcurrencyLimiter(DecisionContext context, PendingCounterCalls pendingCalls) {
    this.context = context;
    this.pendingCalls = pendingCalls;
  }

  /** Returns whether a call to the counter could grant a permit that an even share cannot. */
  boolean needsSharedPermit(CustomerAccount account) {
    int limit = account.plan().concurrencyLimit();
    return hasFewerPermitsThanGateways(account)
        && account.attemptsInFlight() < limit
        && context.settings().capabilities().sharedCounter();
  }

  /** Calls the counter for a permit. */
  void acquirePermit(QuotaReservation reservation) {
    CustomerAccount account = reservation.account;
    long window = (long) Math.floor(context.nowMs() / PERMIT_WINDOW_MS);
    reservation.awaitingPermit = true;
    reservation.permitCallPending = true;
    reservation.permitCounterName = account.windows().permitsCounterName(window);
    pendingCalls.submit(
        reservation.permitCounterName,
        1,
        new PendingCounterCalls.PermitAcquisition(account, reservation));
  }

  /** Admits a request to this gateway's even share of the permits if the share has room. */
  boolean tryAcquireLocally(CustomerAccount account) {
    int limit = account.plan().concurrencyLimit();
    if (limit <= 0) {
      return true;
    }
    if (account.attemptsInFlight() >= Math.max(1, limit / account.gateways())) {
      return false;
    }
    return !hasFewerPermitsThanGateways(account) || account.localShare().tryAcquireStart();
  }

  /** Processes the reply to a call for a permit. */
  PermitReply onReply(QuotaReservation reservation, Status status, double totalPermits) {
    reservation.permitCallPending = false;
    if (status.provesNotExecuted()) {
      reservation.permitCounterName = null;
    }
    if (reservation.ended) {
      releasePermit(reservation);
      return PermitReply.NOT_AWAITED;
    }
    if (!reservation.awaitingPermit) {
      return PermitReply.NOT_AWAITED;
    }
    reservation.awaitingPermit = false;
    if (status != Status.OK) {
      return PermitReply.UNKNOWN;
    }
    if (totalPermits > reservation.account.plan().concurrencyLimit()) {
      releasePermit(reservation);
      return PermitReply.EXHAUSTED;
    }
    return PermitReply.GRANTED;
  }

  /**
   * Ends a request's use of its permit. If the call for the permit has no reply yet, it is unknown
   * whether there is a permit to release, and the reply triggers the release.
   */
  void end(QuotaReservation reservation) {
    reservation.ended = true;
    reservation.awaitingPermit = false;
    releasePermit(reservation);
  }

  private void releasePermit(QuotaReservation reservation) {
    if (reservation.permitCounterName == null || reservation.permitCallPending) {
      return;
    }
    pendingCalls.submit(
        reservation.permitCounterName,
        -1,
        new PendingCounterCalls.PermitRelease(reservation.account));
    reservation.permitCounterName = null;
  }

  private static boolean hasFewerPermitsThanGateways(CustomerAccount account) {
    int limit = account.plan().concurrencyLimit();
    return limit > 0 && account.gateways() > limit;
  }
}
