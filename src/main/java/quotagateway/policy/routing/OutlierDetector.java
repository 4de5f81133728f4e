package quotagateway.policy.routing;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.Status;
import quotagateway.policy.settings.Idempotency;

/**
 * Ejects failing backends, with one circuit breaker for each backend. A backend whose failure share
 * is too high is ejected: it gets no requests for a time that doubles with each consecutive
 * ejection. Then the backend is half-open: one request probes it; a success closes the circuit
 * breaker, a failure ejects the backend again. A backend that has rejected a request is paused for
 * a short time, which is not an ejection. Owned by the policy's thread.
 */
final class OutlierDetector {

  /** Weight of the newest sample in a backend's failure share. */
  private static final double NEWEST_SAMPLE_WEIGHT = 0.2;

  /** Failure share above which a backend is ejected; three consecutive failures exceed it. */
  private static final double MAX_FAILURE_SHARE = 0.4;

  /**
   * Failure share below which a backend has recovered, so that its next ejection counts as the
   * first again.
   */
  private static final double RECOVERED_FAILURE_SHARE = MAX_FAILURE_SHARE / 4;

  /**
   * Duration of the first ejection: long enough for a brief fault to end, short enough to lose
   * little capacity.
   */
  private static final double FIRST_EJECTION_MS = 1_000;

  /** Limits the ejection time, so that a repaired backend is soon used again. */
  private static final int MAX_EJECTION_DOUBLINGS = 3;

  /** Random increase of the ejection time, so that the gateways do not all probe at once. */
  private static final double EJECTION_JITTER = 0.3;

  /** Pause after a rejection, as a multiple of the mean service time over all backends. */
  private static final double REJECTION_PAUSE_SERVICE_TIMES = 2;

  /** Time after its end for which an ejection keeps the backend's status from being evicted. */
  private static final double EJECTION_RETENTION_MS = 10_000;

  private final DecisionContext context;

  OutlierDetector(DecisionContext context) {
    this.context = context;
  }

  /**
   * Returns whether the outcome of an attempt is a failure of the backend. A timeout or
   * cancellation counts only if, since the attempt was sent, the backend has answered nothing and
   * this gateway has not stalled.
   *
   * @param stalledUntilMs the end of this gateway's latest stall
   */
  boolean isFailure(
      BackendStatus backend, AttemptRecord attempt, Status status, double stalledUntilMs) {
    return switch (status) {
      case ERROR, RESET, CONNECT_FAILED -> true;
      case TIMED_OUT, CANCELLED, WRITE_STALLED, RESPONSE_STALLED ->
          backend.lastResponseAtMs <= attempt.sentAtMs() && attempt.sentAtMs() > stalledUntilMs;
      default -> false;
    };
  }

  /**
   * Adds a success or a failure to a backend's failure share.
   *
   * @param observationWeight weight of the previous failure share, from 0 to 1
   */
  void recordSample(BackendStatus backend, boolean failed, double observationWeight) {
    backend.failureShare *= observationWeight;
    backend.failureShare += NEWEST_SAMPLE_WEIGHT * ((failed ? 1 : 0) - backend.failureShare);
  }

  /**
   * Closes a backend's circuit breaker after a success, and resets the count of consecutive
   * ejections if the backend has recovered.
   */
  void closeCircuitBreaker(BackendStatus backend) {
    backend.halfOpen = false;
    if (backend.failureShare < RECOVERED_FAILURE_SHARE) {
      backend.ejections = 0;
    }
  }

  /**
   * Ejects a backend after a failed attempt if its failure share is too high or it is half-open.
   * Ignores an attempt that was sent before the end of the latest ejection, because it failed due
   * to the fault for which the backend was ejected.
   */
  void ejectIfFailing(BackendStatus backend, AttemptRecord attempt) {
    if (attempt.sentAtMs() < backend.ejectedUntilMs) {
      return;
    }
    if (backend.failureShare > MAX_FAILURE_SHARE || backend.halfOpen) {
      double ejectionMs =
          FIRST_EJECTION_MS * (1 << Math.min(backend.ejections, MAX_EJECTION_DOUBLINGS));
      double jitter = 1 + EJECTION_JITTER * context.nextRandom();
      backend.ejectedUntilMs = context.nowMs() + ejectionMs * jitter;
      backend.ejections++;
      backend.halfOpen = true;
    }
  }

  /** Pauses a backend that has rejected a request. */
  void pauseAfterRejection(BackendStatus backend, double fleetServiceMs) {
    backend.pausedUntilMs = context.nowMs() + REJECTION_PAUSE_SERVICE_TIMES * fleetServiceMs;
  }

  /** Returns whether a backend is paused after a rejection. */
  boolean isPaused(BackendStatus backend) {
    return context.nowMs() < backend.pausedUntilMs;
  }

  /**
   * Returns whether a backend must not get a request: because it is ejected, because it is
   * half-open and either has an outstanding attempt or the request is not idempotent, or because
   * its zone or cell cannot be reached.
   */
  boolean isUnavailableFor(BackendStatus backend, Idempotency idempotency) {
    double nowMs = context.nowMs();
    boolean probeDisallowed =
        backend.halfOpen
            && (!backend.outstandingAttempts.isEmpty()
                || idempotency == Idempotency.NOT_IDEMPOTENT);
    return nowMs < backend.ejectedUntilMs
        || probeDisallowed
        || backend.groupLossShare(nowMs) > MAX_FAILURE_SHARE;
  }

  /** Returns whether a backend was never ejected or its latest ejection is no longer relevant. */
  boolean hasNoRecentEjection(BackendStatus backend) {
    return context.nowMs() > backend.ejectedUntilMs + EJECTION_RETENTION_MS;
  }
}
