package quotagateway.policy.routing;

import quotagateway.policy.context.DecisionContext;

/**
 * Takes a backend that refuses a connection for one that has restarted, before the endpoint list
 * says so, so that it is met as one that warms up. Owned by the policy's thread.
 *
 * <p>Prevents a burst of requests to a process that has just started. A suspected backend that then
 * answers an attempt sent before the suspicion has not restarted, as nothing outlives its process:
 * the suspicion ends. That prevents connections that fail for any other cause, of which a few would
 * suffice, from making the whole fleet look as if it was warming up. Cost: none known, as a start
 * that the list gives still holds.
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

  /** Suspects a restart after a failed connection, unless the backend is warming up anyway. */
  void recordConnectFailure(BackendStatus backend) {
    if (!backend.isWarmingUp(context.settings().rules(), context.nowMs())) {
      backend.restartSuspectedAtMs = context.nowMs();
      slowStart.restart(backend);
      tracker.assumeStarted(backend, context.nowMs());
    }
  }

  /** Ends the suspicion if the successful attempt was sent before it. */
  void recordSuccess(BackendStatus backend, AttemptRecord attempt) {
    if (attempt.sentAtMs() < backend.restartSuspectedAtMs) {
      tracker.assumeStarted(backend, backend.listedStartMs);
      backend.restartSuspectedAtMs = Double.NEGATIVE_INFINITY;
      slowStart.warmCountChanged();
    }
  }
}
