package quotagateway.policy.routing;

import quotagateway.endpoint.EndpointIndex;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.context.ExponentialMean;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Status;
import quotagateway.policy.settings.PolicySettings;

/**
 * Selects the backend for each attempt and records the outcomes of attempts. This class is the
 * entry point of the package. Owned by the policy's thread.
 */
public final class BackendRouter {

  private final DecisionContext context;
  private final EndpointIndex index;
  private final LoadEstimator load;
  private final OutlierDetector outliers;
  private final SlowStartLimiter slowStart;
  private final EndpointTracker tracker;
  private final RestartDetector restarts;
  private final EndpointSelector selector;
  private final ResponseStalls stalls;

  /**
   * Creates a router without endpoints.
   *
   * @param context the time, settings, random numbers and emitted actions
   * @param index the index of endpoints; only this router changes it
   * @param attemptsInFlight mean number of attempts that this gateway has in flight at all backends
   */
  public BackendRouter(
      DecisionContext context, EndpointIndex index, ExponentialMean attemptsInFlight) {
    this.context = context;
    this.index = index;
    load = new LoadEstimator(context, index, attemptsInFlight);
    outliers = new OutlierDetector(context);
    slowStart = new SlowStartLimiter(context, index, load);
    tracker =
        new EndpointTracker(context, index, new GroupReachabilities(context), slowStart, outliers);
    restarts = new RestartDetector(context, tracker, slowStart);
    stalls = new ResponseStalls(context);
    selector = new EndpointSelector(context, index, tracker, load, outliers, slowStart);
  }

  // ---- Endpoints ----

  /** Applies an update of the endpoint list. */
  public void updateEndpoints(EndpointsUpdated event) {
    tracker.update(event);
  }

  /** Continues the removal of endpoints that are no longer listed. */
  public void continueSweep() {
    tracker.continueSweep();
  }

  /**
   * Updates the ranking of endpoints and the set of endpoints that are warming up for changed
   * settings. Must be called before the settings take effect.
   */
  public void prepareSettings(PolicySettings changed) {
    if (changed.gatewayIndex() != index.gatewayIndex()) {
      index.rankForGateway(changed.gatewayIndex());
    }
    double warmUpMs = changed.rules().warmUpMs();
    if (warmUpMs != context.settings().rules().warmUpMs()) {
      index.recountWarmingUp(warmUpMs, context.nowMs());
    }
  }

  /** Returns the number of backends that have a {@link BackendStatus}. */
  public int statusCount() {
    return tracker.statusCount();
  }

  /** Returns the mean service time over all backends, in milliseconds. */
  public double fleetServiceMs() {
    return load.fleetServiceMs();
  }

  // ---- Attempts ----

  /**
   * Returns the backend for the next attempt of a request, or null if none can be used now.
   *
   * @param latencyObjectiveMs the latency objective of the request
   */
  public BackendStatus select(RequestRouting request, double latencyObjectiveMs) {
    return selector.select(request, latencyObjectiveMs);
  }

  /** Starts the attempt with the given number at the selected backend. */
  public AttemptRecord startAttempt(RequestRouting request, int number, BackendStatus backend) {
    slowStart.recordAttempt(backend);
    request.recordAttempt(backend);
    return new AttemptRecord(number, backend, context.nowMs());
  }

  /**
   * Records that the backend has the complete request. The attempt counts towards the backend's
   * load from now on.
   */
  public void attemptReachedBackend(AttemptRecord attempt) {
    attempt.markReachedBackend();
    attempt.backend().outstandingAttempts.add(attempt);
  }

  /**
   * Records that the last byte of a request that is forwarded while it is being received has
   * arrived. The backend starts processing only now, so the attempt's time is measured from here.
   */
  public void requestBodyComplete(AttemptRecord attempt) {
    attempt.markBodyComplete(context.nowMs());
    attemptReachedBackend(attempt);
  }

  /**
   * Records the start of a streamed response. The backend has finished its work; how long the rest
   * takes depends on the client.
   */
  public void responseStarted(AttemptRecord attempt) {
    BackendStatus backend = attempt.backend();
    backend.outstandingAttempts.remove(attempt);
    backend.recordResponse(attempt, context.nowMs());
  }

  /** Records that a response has begun, stalls, or goes on after a stall. */
  public void responseProgress(AttemptRecord attempt, boolean stalled) {
    stalls.recordProgress(attempt, stalled);
  }

  /**
   * Returns the share of the recent stalls of responses that ended by themselves, from 0 to 1; NaN
   * if there was none.
   */
  public double resumedStallShare() {
    return stalls.resumedShare();
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param stalledUntilMs the end of this gateway's latest stall
   */
  public void attemptEnded(AttemptRecord attempt, AttemptEnded event, double stalledUntilMs) {
    BackendStatus backend = attempt.backend();
    Status status = event.status();
    backend.outstandingAttempts.remove(attempt);
    load.recordReport(backend, event.loadReport());
    boolean failed = outliers.isFailure(backend, attempt, status, stalledUntilMs);
    boolean responded = isBackendResponse(status);
    // Read before the response is recorded, which would reset the weight to 1.
    double observationWeight = backend.observationWeight(context.nowMs());
    if (responded) {
      backend.recordResponse(attempt, context.nowMs());
    }
    if (status == Status.OK || failed) {
      outliers.recordSample(backend, failed, observationWeight);
    }
    stalls.recordAttemptEnd(attempt, status);
    boolean reached = responded || attempt.hasResponseBegun();
    recordReachability(attempt, reached, failed && !attempt.hasResponseBegun());
    if (status == Status.OK) {
      restarts.recordSuccess(backend, attempt);
      outliers.closeCircuitBreaker(backend);
      load.recordServiceTime(backend, event.loadReport(), event.latencyMs());
    } else if (status == Status.REJECTED) {
      outliers.pauseAfterRejection(backend, load.fleetServiceMs());
    } else if (failed) {
      if (status == Status.CONNECT_FAILED) {
        restarts.recordConnectFailure(backend);
      }
      outliers.ejectIfFailing(backend, attempt);
    }
  }

  private void recordReachability(AttemptRecord attempt, boolean responded, boolean failed) {
    BackendStatus backend = attempt.backend();
    double nowMs = context.nowMs();
    backend.zoneReachability.record(attempt.sentAtMs(), responded, failed, nowMs);
    backend.cellReachability.record(attempt.sentAtMs(), responded, failed, nowMs);
  }

  /** Returns whether the backend responded. An unreadable response counts as a response. */
  private static boolean isBackendResponse(Status status) {
    return status == Status.OK
        || status == Status.ERROR
        || status == Status.REJECTED
        || status == Status.MALFORMED_RESPONSE;
  }
}
