package quotagateway.policy.routing;

import quotagateway.policy.context.DecisionContext;

/**
 * Suspects that a backend has restarted when a connection to it fails, before the endpoint list
 * reports the restart. A suspected backend is treated as warming up. Owned by the policy's thread.
 *
 * <p>Without this, a process that has just started would get a burst of requests. The suspicion
 * ends when an attempt that was sent before it succeeds, because an attempt cannot outlive its
 * process. Otherwise a few connections that fail for another reason would suffice to make the
 * entire fleet look as if it was warming up. There is no known drawback, because a start time in
 * the list still applies.
 */
final class RestartDetector {

  private final DecisionContext context;
  private final EndpointTracker tracker;
  private final SlowStartLimiter slowStart;

  RestartDetector(DecisionContext context, EndpointTracker tracker, SlowStartLimiter slowStart) {
    this.context = context;
    this.tracker = tracker;
    this.slowStart = slowStart;
  }

  /** Suspects a restart after a failed connection, unless the backend is already warming up. */
  void recordConnectFailure(BackendStatus backend) {
    if (!backend.isWarmingUp(context.settings().rules(), context.nowMs())) {
      backend.restartSuspectedAtMs = context.nowMs();
      slowStart.resetBucket(backend);
      tracker.assumeStarted(backend, context.nowMs());
    }
  }

  /** Ends the suspicion if the successful attempt was sent before it arose. */
  void recordSuccess(BackendStatus backend, AttemptRecord attempt) {
    if (attempt.sentAtMs() < backend.restartSuspectedAtMs) {
      tracker.assumeStarted(backend, backend.listedStartMs);
      backend.restartSuspectedAtMs = Double.NEGATIVE_INFINITY;
      slowStart.invalidateWarmCount();
    }
  }
}
