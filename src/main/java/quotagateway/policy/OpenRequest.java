package quotagateway.policy;

import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.quota.QuotaReservation;
import quotagateway.policy.retry.RequestAttempts;
import quotagateway.policy.routing.AttemptRecord;
import quotagateway.policy.routing.RequestRouting;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.RequestClass;

/**
 * A request that has come and has no final response yet. Changed by {@link GatewayPolicy} alone, on
 * its thread. Times are those of events, in milliseconds.
 */
final class OpenRequest {

  /** Shortest latency objective, where a class has none and no time is left. */
  private static final double MIN_LATENCY_OBJECTIVE_MS = 1;

  final String id;
  final RequestClass requestClass;

  /** By the settings that it was read by. */
  final Capabilities capabilities;

  final QuotaReservation quota;
  final RequestAttempts attempts;
  final RequestRouting routing;

  /** When it came; if it was taken before its body, when the last byte of that came. */
  double receivedAtMs;

  /** When its client gives up; infinite while its body is still coming. */
  double deadlineAtMs;

  /** Its body goes to the backend while it comes, and is still coming. */
  boolean receivingBody;

  /** The attempt that is in progress, or null. */
  AttemptRecord liveAttempt;

  /** It waits, as no backend can be used now. */
  boolean awaitingBackend;

  /**
   * A request that has just come.
   *
   * @param event as it came
   * @param requestClass that it is served by
   * @param capabilities that it is served by
   * @param quota its reservation
   * @param nowMs the present time
   */
  OpenRequest(
      RequestReceived event,
      RequestClass requestClass,
      Capabilities capabilities,
      QuotaReservation quota,
      double nowMs) {
    this.id = event.requestId();
    this.requestClass = requestClass;
    this.capabilities = capabilities;
    this.quota = quota;
    receivedAtMs = nowMs;
    deadlineAtMs = event.deadlineAtMs();
    receivingBody = Double.isInfinite(deadlineAtMs);
    attempts = new RequestAttempts(requestClass, capabilities, receivingBody);
    routing = new RequestRouting(requestClass);
  }

  /** Its class; one that the settings do not have is treated as never to be executed twice. */
  static RequestClass classOf(RequestReceived event, double nowMs) {
    if (event.requestClass() != null) {
      return event.requestClass();
    }
    double remainingMs = event.deadlineAtMs() - nowMs;
    return new RequestClass(
        "",
        1,
        0,
        remainingMs / 2,
        remainingMs,
        Idempotency.NOT_IDEMPOTENT,
        DeduplicationScope.CELL,
        0,
        false);
  }

  /** The objective of its class, or else its deadline, as a time since it was received. */
  double latencyObjectiveMs() {
    if (requestClass.latencyObjectiveMs() > 0) {
      return requestClass.latencyObjectiveMs();
    }
    return Math.max(MIN_LATENCY_OBJECTIVE_MS, deadlineAtMs - receivedAtMs);
  }
}
