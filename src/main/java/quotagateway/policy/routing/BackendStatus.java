package quotagateway.policy.routing;

import java.util.LinkedHashSet;
import quotagateway.policy.settings.ServiceRules;

/**
 * The state that this gateway keeps for one process of a backend. A backend that restarts gets a
 * new status. Each group of fields is changed only by the class that is named above it. Owned by
 * the policy's thread.
 */
public final class BackendStatus {

  /** Time without a response after which observations of a backend have a weight of 1/e. */
  private static final double OBSERVATION_TIME_CONSTANT_MS = 3_000;

  final int slot;
  private final long endpointId;

  /** Start time in the endpoint list, in Unix milliseconds; 0 if it was long ago. */
  final double listedStartMs;

  // EndpointTracker: the backend's group and its assumed start time.
  String zone;
  int cell;
  GroupReachability zoneReachability;
  GroupReachability cellReachability;
  double assumedStartMs;

  /** RestartDetector: when a restart was suspected; negative infinity if none is suspected. */
  double restartSuspectedAtMs = Double.NEGATIVE_INFINITY;

  // SlowStartLimiter: tokens for attempts during warm-up, and the time of their latest refill.
  double slowStartTokens;
  double slowStartRefilledAtMs;

  // BackendRouter: outstanding attempts, oldest first; the time of the latest response; the latest
  // send time among the answered attempts.
  final LinkedHashSet<AttemptRecord> outstandingAttempts = new LinkedHashSet<>();
  double lastResponseAtMs;
  double latestAnsweredSentAtMs = Double.NEGATIVE_INFINITY;

  // OutlierDetector: failure share (0 to 1), consecutive ejections, whether the backend is
  // half-open once the ejection ends, and the end of the ejection.
  double failureShare;
  int ejections;
  boolean halfOpen;
  double ejectedUntilMs = Double.NEGATIVE_INFINITY;

  /** ResponseStalls: responses that stalled and never ended since the latest success. */
  int unresolvedStalls;

  /** OutlierDetector: the end of the pause after a rejected request. */
  double pausedUntilMs = Double.NEGATIVE_INFINITY;

  // LoadEstimator: mean service time (NaN before the first success); requests in flight in the
  // latest load report (NaN before the first), this gateway's outstanding attempts at that time,
  // and the time of the report.
  double meanServiceMs = Double.NaN;
  double reportedInFlight = Double.NaN;
  double ownAttemptsWhenReported;
  double reportedAtMs;

  BackendStatus(int slot, long endpointId, double startedMs, double slowStartTokens, double nowMs) {
    this.slot = slot;
    this.endpointId = endpointId;
    this.listedStartMs = startedMs;
    this.assumedStartMs = startedMs;
    this.slowStartTokens = slowStartTokens;
    this.slowStartRefilledAtMs = nowMs;
    this.lastResponseAtMs = nowMs;
  }

  /** Returns the backend's identifier in the endpoint list. */
  public long endpointId() {
    return endpointId;
  }

  /**
   * Returns the weight, from 0 to 1, of what this gateway has observed of the backend. The weight
   * falls while the backend does not respond.
   *
   * <p>Without this decay, the gateway would avoid a backend forever after a fault whose end it
   * cannot see. The drawback is that some requests still run into a lasting fault now and then.
   */
  double observationWeight(double nowMs) {
    return Math.exp((lastResponseAtMs - nowMs) / OBSERVATION_TIME_CONSTANT_MS);
  }

  /** Returns whether the backend is assumed to have started too recently to have full capacity. */
  boolean isWarmingUp(ServiceRules rules, double nowMs) {
    return assumedStartMs > 0 && nowMs - assumedStartMs < rules.warmUpMs();
  }

  /** Returns the share of its capacity, at most 1, that the backend has by the service rules. */
  double availableCapacityShare(ServiceRules rules, double nowMs) {
    double share =
        rules.warmUpInitialShare()
            + (1 - rules.warmUpInitialShare()) * (nowMs - assumedStartMs) / rules.warmUpMs();
    return Math.min(1, share);
  }

  /** Records a response to an attempt. */
  void recordResponse(AttemptRecord attempt, double nowMs) {
    lastResponseAtMs = nowMs;
    latestAnsweredSentAtMs = Math.max(latestAnsweredSentAtMs, attempt.sentAtMs());
  }

  /** Returns the share of attempts lost to the backend's zone or cell, whichever is larger. */
  double groupLossShare(double nowMs) {
    return Math.max(zoneReachability.lossShare(nowMs), cellReachability.lossShare(nowMs));
  }
}
