package quotagateway.policy.routing;

import java.util.LinkedHashSet;
import quotagateway.policy.settings.ServiceRules;

/**
 * What this gateway knows of one process of a backend. A backend that starts again gets a new
 * status. It decides nothing: each group of fields belongs to the class named above it, the only
 * one that changes it. Owned by the policy's thread.
 */
public final class BackendStatus {

  /** What was learned of a backend counts 1/e after this time without a response from it. */
  private static final double LEARNED_MEMORY_MS = 3_000;

  final int slot;
  private final long endpointId;

  /** When the endpoint list says that it started, in Unix milliseconds; 0 for long ago. */
  final double listedStartMs;

  // EndpointTracker: the group that it is in, and when it is assumed to have started.
  String zone;
  int cell;
  GroupReachability zoneReachability;
  GroupReachability cellReachability;
  double assumedStartMs;

  /** RestartDetector: since when it looks restarted; negative infinity where it does not. */
  double restartSuspectedAtMs = Double.NEGATIVE_INFINITY;

  // SlowStartLimiter: token bucket of attempts while it warms up, as of the time beside it.
  double slowStartTokens;
  double slowStartRefilledAtMs;

  // BackendRouter: attempts that it has, oldest first; its last response, and when the latest-sent
  // of the answered attempts was sent.
  final LinkedHashSet<AttemptRecord> outstanding = new LinkedHashSet<>();
  double lastResponseAtMs;
  double latestAnsweredSentAtMs = Double.NEGATIVE_INFINITY;

  // OutlierDetector: share of failures (0 to 1), ejections in a row, and whether the next attempt
  // is a half-open probe.
  double failureShare;
  int ejections;
  boolean halfOpen;
  double ejectedUntilMs = Double.NEGATIVE_INFINITY;

  /** OutlierDetector: it has rejected a request and gets none until then. */
  double rejectingUntilMs = Double.NEGATIVE_INFINITY;

  // LoadEstimator: mean service time, NaN before the first response; requests in flight as last
  // reported (NaN before), how many of them were this gateway's, and when that came.
  double meanServiceMs = Double.NaN;
  double reportedInFlight = Double.NaN;
  double ownWhenReported;
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

  /** Its number in the endpoint list. */
  public long endpointId() {
    return endpointId;
  }

  /**
   * Weight, from 0 to 1, of what was learned of this backend; it falls while the backend answers
   * nothing.
   *
   * <p>Prevents avoiding a backend for ever after a fault that nobody sees end. Cost: a lasting
   * fault is met again once in a while.
   */
  double learnedWeight(double nowMs) {
    return Math.exp((lastResponseAtMs - nowMs) / LEARNED_MEMORY_MS);
  }

  /** Whether it is assumed to have started too lately to have its whole capacity. */
  boolean isWarmingUp(ServiceRules rules, double nowMs) {
    return assumedStartMs > 0 && nowMs - assumedStartMs < rules.warmUpMs();
  }

  /** The share of its capacity that the service rules promise by now, at most 1. */
  double warmedUpShare(ServiceRules rules, double nowMs) {
    double warmedUp =
        rules.warmUpInitialShare()
            + (1 - rules.warmUpInitialShare()) * (nowMs - assumedStartMs) / rules.warmUpMs();
    return Math.min(1, warmedUp);
  }

  /** Notes that it has answered an attempt. */
  void recordResponse(AttemptRecord attempt, double nowMs) {
    lastResponseAtMs = nowMs;
    latestAnsweredSentAtMs = Math.max(latestAnsweredSentAtMs, attempt.sentAtMs());
  }

  /** The share of attempts lost on the way to its zone or to its cell, whichever is more. */
  double groupLossShare(double nowMs) {
    return Math.max(zoneReachability.lossShare(nowMs), cellReachability.lossShare(nowMs));
  }
}
