package quotagateway.policy;

import java.util.Collection;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.CancelReason;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.Status;
import quotagateway.policy.retry.AttemptTimeout;
import quotagateway.policy.retry.RecentResponses;
import quotagateway.policy.retry.RetryBudget;
import quotagateway.policy.retry.RetryPolicy;
import quotagateway.policy.retry.StallEvidence;
import quotagateway.policy.retry.StalledResponsePolicy;
import quotagateway.policy.routing.AttemptRecord;
import quotagateway.policy.routing.BackendRouter;
import quotagateway.policy.routing.BackendStatus;

/**
 * Watches the attempts in flight, and cancels one that looks lost or whose response has stalled if
 * another attempt is likely to do better. Owned by the policy's thread; times are in milliseconds.
 */
final class AttemptMonitor {

  /** A connection that failed sooner was refused. */
  private static final double MIN_CONNECT_TIMEOUT_MS = 100;

  /** Share of a wait from which on another one is about as long. */
  private static final double SIMILAR_WAIT_RATIO = 0.5;

  private final DecisionContext context;
  private final BackendRouter router;
  private final Collection<OpenRequest> inFlight;
  private final RecentResponses recentResponses = new RecentResponses();
  private final AttemptTimeout attemptTimeout;
  private final StalledResponsePolicy stalledResponsePolicy;

  /**
   * Creates a monitor.
   *
   * @param inFlight a live view of the requests with an attempt in flight
   */
  AttemptMonitor(
      DecisionContext context,
      BackendRouter router,
      RetryPolicy retryPolicy,
      RetryBudget budget,
      Collection<OpenRequest> inFlight) {
    this.context = context;
    this.inFlight = inFlight;
    this.router = router;
    attemptTimeout = new AttemptTimeout(budget, recentResponses);
    stalledResponsePolicy = new StalledResponsePolicy(context, retryPolicy, recentResponses);
  }

  /** Records the outcome of an attempt. */
  void recordOutcome(OpenRequest request, AttemptRecord attempt, AttemptEnded event) {
    if (event.status() == Status.OK) {
      recentResponses.record(context.nowMs(), event.latencyMs());
    }
    boolean timedOut = context.nowMs() - attempt.sentAtMs() >= MIN_CONNECT_TIMEOUT_MS;
    if (event.status() == Status.CONNECT_FAILED && timedOut) {
      request.connectTimedOutBackend = attempt.backend();
    }
  }

  /**
   * Returns whether the next attempt of a request may wait for its connection until the deadline:
   * the connection to another backend has timed out, and no backend has responded since the request
   * came. Connections to all backends may then need more than the connect timeout.
   */
  boolean mayAwaitConnection(OpenRequest request, BackendStatus backend) {
    BackendStatus timedOut = request.connectTimedOutBackend;
    return timedOut != null
        && timedOut != backend
        && !recentResponses.hasAnySince(request.receivedAtMs);
  }

  /**
   * Cancels the attempt in flight of a request if it has waited for too long.
   *
   * @param nextCheckAtMs when the request is checked again
   */
  void check(OpenRequest request, double nextCheckAtMs) {
    AttemptRecord attempt = request.currentAttempt;
    if (attempt.isStalled()) {
      if (mayGiveUpStalled(request, attempt, nextCheckAtMs)) {
        cancel(request, CancelReason.RESPONSE_STALLED);
      }
    } else if (looksLost(request, attempt) && attemptTimeout.mayCancel(request.attempts)) {
      cancel(request, CancelReason.NO_RESPONSE);
    }
  }

  /**
   * Cancels the attempt in flight of a request whose body its backend does not take, so that the
   * client can go elsewhere in time. Not if the backend answers others meanwhile, or if other
   * backends are as slow.
   *
   * @param stalledMs time since the backend last took a part of the body
   */
  void checkBody(OpenRequest request, double stalledMs) {
    AttemptRecord attempt = request.currentAttempt;
    boolean backendResponds = attempt.hasBackendRespondedSince(context.nowMs() - stalledMs);
    if (!backendResponds && !areOthersAsSlow(attempt, stalledMs)) {
      cancel(request, CancelReason.BODY_STALLED);
    }
  }

  /**
   * Returns whether no backend has responded during the wait of an attempt, although another one
   * has been asked as well.
   */
  private boolean areOthersAsSlow(AttemptRecord attempt, double waitMs) {
    return !recentResponses.hasAnySince(context.nowMs() - waitMs)
        && inFlight.stream().anyMatch(other -> waitsElsewhere(other, attempt, waitMs));
  }

  /** Returns whether a request waits for another backend for about as long. */
  private boolean waitsElsewhere(OpenRequest other, AttemptRecord attempt, double waitMs) {
    AttemptRecord otherAttempt = other.currentAttempt;
    return otherAttempt != null
        && otherAttempt.backend() != attempt.backend()
        && context.nowMs() - otherAttempt.sentAtMs() >= waitMs * SIMILAR_WAIT_RATIO;
  }

  private boolean mayGiveUpStalled(
      OpenRequest request, AttemptRecord attempt, double nextCheckAtMs) {
    StallEvidence evidence =
        new StallEvidence(
            attempt.hasBackendWithUnresolvedStalls(),
            attempt.isBackendResponsiveDuringStall(),
            router.resumedStallShare());
    return stalledResponsePolicy.mayGiveUp(
        request.attempts,
        attempt.sentAtMs(),
        request.deadlineAtMs,
        router.fleetServiceMs(),
        nextCheckAtMs,
        evidence);
  }

  private boolean looksLost(OpenRequest request, AttemptRecord attempt) {
    double objectiveMs = request.latencyObjectiveMs();
    double lossTimeoutMs = attemptTimeout.lossTimeoutMs(objectiveMs);
    return attempt.looksLost(lossTimeoutMs, context.nowMs())
        && attemptTimeout.mayAnotherDoBetter(attempt.sentAtMs(), objectiveMs)
        && !areOthersAsSlow(attempt, context.nowMs() - attempt.sentAtMs());
  }

  private void cancel(OpenRequest request, CancelReason reason) {
    request.attempts.recordCancellation();
    context.emit(new CancelAttempt(request.id, request.currentAttempt.number(), reason));
  }
}
