package quotagateway.policy.routing;

import java.util.List;
import java.util.stream.IntStream;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.context.ExponentialMean;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/** The classes of this package, connected as in a gateway but without the rest of the policy. */
final class RoutingFixture {

  static final double START_MS = 1_000_000;
  static final double LATENCY_OBJECTIVE_MS = 1_000;

  final DecisionContext context;
  final EndpointIndex index;

  /** Takes the value of each sample at once. */
  final ExponentialMean attemptsInFlight = new ExponentialMean(1, 1, START_MS);

  final LoadEstimator load;
  final OutlierDetector outliers;
  final SlowStartLimiter slowStart;
  final EndpointTracker tracker;
  final RestartDetector restarts;
  final EndpointSelector selector;

  RoutingFixture(PolicySettings settings) {
    context = new DecisionContext(settings, 7);
    context.start(START_MS);
    index = new EndpointIndex(settings.gatewayIndex());
    load = new LoadEstimator(context, index, attemptsInFlight);
    outliers = new OutlierDetector(context);
    slowStart = new SlowStartLimiter(context, index, load);
    tracker =
        new EndpointTracker(context, index, new GroupReachabilities(context), slowStart, outliers);
    restarts = new RestartDetector(context, tracker, slowStart);
    selector = new EndpointSelector(context, index, tracker, load, outliers, slowStart);
  }

  /**
   * Creates the routing of one of several gateways, with warm backends numbered from 0: even ones
   * in zone a, odd ones in zone b.
   */
  static RoutingFixture of(int gatewayCount, int backendCount) {
    RoutingFixture fixture = new RoutingFixture(PolicyFixture.settings(true, gatewayCount, false));
    List<Endpoint> endpoints =
        IntStream.range(0, backendCount).mapToObj(id -> endpoint(id, 0)).toList();
    fixture.tracker.update(new EndpointsUpdated(EndpointListForm.SNAPSHOT, endpoints));
    return fixture;
  }

  /** Creates a serving endpoint in a cell of its own. */
  static Endpoint endpoint(int id, double startedMs) {
    return new Endpoint(id, id % 2 == 0 ? "a" : "b", id, EndpointState.SERVING, 1, startedMs);
  }

  static RequestRouting request(Idempotency idempotency, DeduplicationScope scope) {
    return new RequestRouting(
        new RequestClass(
            "any", 1, 0, LATENCY_OBJECTIVE_MS, 4_000, idempotency, scope, 3_000, false));
  }

  static RequestRouting idempotentRequest() {
    return request(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
  }

  void advanceMs(double elapsedMs) {
    context.begin(context.nowMs() + elapsedMs);
  }

  BackendStatus backend(long id) {
    return tracker.getOrCreateStatus(index.find(id));
  }

  /** Starts an attempt whose request the backend has completely received. */
  AttemptRecord startAttemptAt(BackendStatus backend) {
    AttemptRecord attempt = new AttemptRecord(0, backend, context.nowMs());
    attempt.markReachedBackend();
    backend.outstandingAttempts.add(attempt);
    return attempt;
  }

  /** Records consecutive failures, each of which may eject the backend. */
  void recordFailures(BackendStatus backend, int count) {
    for (int i = 0; i < count; i++) {
      outliers.recordSample(backend, true, 1);
      outliers.ejectIfFailing(backend, new AttemptRecord(0, backend, context.nowMs()));
    }
  }
}
