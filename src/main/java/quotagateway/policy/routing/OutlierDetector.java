package quotagateway.policy.routing;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.Status;
import quotagateway.policy.settings.Idempotency;

/**
 * Ejects backends that fail (a circuit breaker for each): one whose share of failures is too high
 * gets no requests for a time that doubles with each ejection in a row. It is half-open then: one
 * request probes it, a success closes the breaker, a failure ejects it again. A backend is also
 * left alone for a moment after it has rejected a request. Owned by the policy's thread.
 */
final class OutlierDetector {

  /** Weight of the newest response in a backend's share of failures. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** Above this share a backend is ejected, as after three failures in a row. */
  private static final double MAX_FAILURE_SHARE = 0.4;

  /** Below this share the next ejection is a first one again: the backend has truly recovered. */
  private static final double RECOVERED_FAILURE_SHARE = MAX_FAILURE_SHARE / 4;

  /** First ejection: long enough for a brief fault to end, short enough to lose little capacity. */
  private static final double EJECTION_MS = 1_000;

  /** The ejection time doubles so often at most, so that a repaired backend is soon in use. */
  private static final int MAX_DOUBLINGS = 3;

  /** Random part of the ejection time, so that the gateways do not probe all at once. */
  private static final double EJECTION_JITTER = 0.3;

  /** A rejecting backend is left alone for so many mean service times of the fleet. */
  private static final double REJECTION_PAUSE_SERVICE_TIMES = 2;

  /** An ejection is part of what is known of a backend for so long after it has ended. */
  private static final double EJECTION_MEMORY_MS = 10_000;

  private final DecisionContext context;

  OutlierDetector(DecisionContext context) {
    this.context = context;
  }

  /**
   * Whether an outcome is a failure of the backend. A time-out counts only where the backend has
   * answered nothing since, and this gateway did not stall meanwhile.
   *
   * @param stalledUntilMs when this gateway last stalled, up to its end
   */
  boolean isFailure(
      BackendStatus backend, AttemptRecord attempt, Status status, double stalledUntilMs) {
    return switch (status) {
      case ERROR, RESET, CONNECT_FAILED -> true;
      case TIMED_OUT, CANCELLED ->
          backend.lastResponseAtMs <= attempt.sentAtMs() && attempt.sentAtMs() > stalledUntilMs;
      default -> false;
    };
  }

  /**
   * Takes a success or a failure into a backend's share of failures.
   *
   * @param learnedWeight weight of the share so far, from 0 to 1
   */
  void recordSample(BackendStatus backend, boolean failed, double learnedWeight) {
    backend.failureShare *= learnedWeight;
    backend.failureShare += NEWEST_WEIGHT * ((failed ? 1 : 0) - backend.failureShare);
  }

  /** Closes the breaker after a success. */
  void close(BackendStatus backend) {
    backend.halfOpen = false;
    if (backend.failureShare < RECOVERED_FAILURE_SHARE) {
      backend.ejections = 0;
    }
  }

  /**
   * Ejects a backend after a failed attempt, if it fails too often, or where the attempt was its
   * half-open probe. An attempt from before the end of the last ejection is neither: it tells of
   * the fault for which the backend was ejected.
   */
  void ejectIfFailing(BackendStatus backend, AttemptRecord attempt) {
    if (attempt.sentAtMs() < backend.ejectedUntilMs) {
      return;
    }
    if (backend.failureShare > MAX_FAILURE_SHARE || backend.halfOpen) {
      double ejectionMs = EJECTION_MS * (1 << Math.min(backend.ejections, MAX_DOUBLINGS));
      double jitter = 1 + EJECTION_JITTER * context.nextRandom();
      backend.ejectedUntilMs = context.nowMs() + ejectionMs * jitter;
      backend.ejections++;
      backend.halfOpen = true;
    }
  }

  /** Leaves a backend alone for a moment that has rejected a request. */
  void pauseAfterRejection(BackendStatus backend, double fleetServiceMs) {
    backend.rejectingUntilMs = context.nowMs() + REJECTION_PAUSE_SERVICE_TIMES * fleetServiceMs;
  }

  /** Whether a backend is left alone after a rejection. */
  boolean isPaused(BackendStatus backend) {
    return context.nowMs() < backend.rejectingUntilMs;
  }

  /**
   * Whether a backend is closed to a request: ejected, half-open with its probe under way or a
   * request that must not be executed twice, or in a zone or cell that cannot be reached.
   */
  boolean isClosedTo(BackendStatus backend, Idempotency idempotency) {
    double nowMs = context.nowMs();
    boolean probeBarred =
        backend.halfOpen
            && (!backend.outstanding.isEmpty() || idempotency == Idempotency.NOT_IDEMPOTENT);
    return nowMs < backend.ejectedUntilMs
        || probeBarred
        || backend.groupLossShare(nowMs) > MAX_FAILURE_SHARE;
  }

  /** Whether a backend's last ejection is so long ago that it does not matter any more. */
  boolean isForgotten(BackendStatus backend) {
    return context.nowMs() > backend.ejectedUntilMs + EJECTION_MEMORY_MS;
  }
}
