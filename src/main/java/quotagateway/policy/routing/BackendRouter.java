package quotagateway.policy.routing;

import quotagateway.endpoint.EndpointIndex;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.context.ExponentialMean;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Status;
import quotagateway.policy.settings.PolicySettings;

/**
 * Chooses backends and learns from what attempts there come to. Every class of this package is
 * reached through this one. Owned by the policy's thread.
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

  /**
   * A router that knows of no backend.
   *
   * @param context time, settings, chance and actions
   * @param index of the endpoints; changed by this router alone
   * @param attemptsInFlight mean number of attempts that this gateway has at all backends
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
    selector = new EndpointSelector(context, index, tracker, load, outliers, slowStart);
  }

  // ---- Endpoints ----

  /** Takes a message of the endpoint list. */
  public void updateEndpoints(EndpointsUpdated event) {
    tracker.update(event);
  }

  /** Goes on removing endpoints that have left. */
  public void continueSweep() {
    tracker.continueSweep();
  }

  /** Orders and counts endpoints by other settings; to be called before those are in force. */
  public void prepareSettings(PolicySettings changed) {
    if (changed.gatewayIndex() != index.gateway()) {
      index.rankFor(changed.gatewayIndex());
    }
    double warmUpMs = changed.rules().warmUpMs();
    if (warmUpMs != context.settings().rules().warmUpMs()) {
      index.recountWarmingUp(warmUpMs, context.nowMs());
    }
  }

  /** How many backends a full status is kept of. */
  public int statusCount() {
    return tracker.statusCount();
  }

  /** Mean service time over all backends, in milliseconds. */
  public double fleetServiceMs() {
    return load.fleetServiceMs();
  }

  // ---- Attempts ----

  /**
   * The backend for the next attempt of a request, or null where none can be used now.
   *
   * @param latencyObjectiveMs of the request
   */
  public BackendStatus select(RequestRouting request, double latencyObjectiveMs) {
    return selector.select(request, latencyObjectiveMs);
  }

  /** Starts the attempt of that number at a backend that was selected. */
  public AttemptRecord startAttempt(RequestRouting request, int number, BackendStatus backend) {
    slowStart.recordAttempt(backend);
    request.attemptStarted(backend);
    return new AttemptRecord(number, backend, context.nowMs());
  }

  /** The backend has the whole request: the attempt is part of its load from now on. */
  public void attemptReachedBackend(AttemptRecord attempt) {
    attempt.markReachedBackend();
    attempt.backend().outstanding.add(attempt);
  }

  /**
   * The last byte of a request that was forwarded while it came in has come: its backend begins
   * only now, and its time counts from here.
   */
  public void requestBodyComplete(AttemptRecord attempt) {
    attempt.bodyComplete(context.nowMs());
    attemptReachedBackend(attempt);
  }

  /** A response streams: its backend has done its work, and the rest is up to the client. */
  public void responseStarted(AttemptRecord attempt) {
    BackendStatus backend = attempt.backend();
    backend.outstanding.remove(attempt);
    backend.recordResponse(attempt, context.nowMs());
  }

  /**
   * Learns from an attempt that has ended.
   *
   * @param stalledUntilMs when this gateway last stalled, up to its end
   */
  public void attemptEnded(AttemptRecord attempt, AttemptEnded event, double stalledUntilMs) {
    BackendStatus backend = attempt.backend();
    Status status = event.status();
    backend.outstanding.remove(attempt);
    load.recordReport(backend, event.loadReport());
    boolean failed = outliers.isFailure(backend, attempt, status, stalledUntilMs);
    boolean responded = isResponse(status);
    // What was learned has faded up to now; the response itself would make it fresh.
    double learnedWeight = backend.learnedWeight(context.nowMs());
    if (responded) {
      backend.recordResponse(attempt, context.nowMs());
    }
    if (status == Status.OK || failed) {
      outliers.recordSample(backend, failed, learnedWeight);
    }
    recordReachability(attempt, responded, failed);
    if (status == Status.OK) {
      restarts.recordSuccess(backend, attempt);
      outliers.close(backend);
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

  /** Whether the backend works; it does where its response cannot be read, too. */
  private static boolean isResponse(Status status) {
    return status == Status.OK
        || status == Status.ERROR
        || status == Status.REJECTED
        || status == Status.MALFORMED_RESPONSE;
  }
}
