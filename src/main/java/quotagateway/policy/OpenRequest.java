package quotagateway.policy;

import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.quota.QuotaReservation;
import quotagateway.policy.retry.RequestAttempts;
import quotagateway.policy.routing.AttemptRecord;
import quotagateway.policy.routing.BackendStatus;
import quotagateway.policy.routing.RequestRouting;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.RequestClass;

/**
 * A received request that has no final response yet. Only {@link GatewayPolicy} modifies it, on its
 * own thread. Times are event times, in milliseconds.
 */
final class OpenRequest {

  /** Lower bound of the latency objective that is derived from a request's deadline. */
  private static final double MIN_LATENCY_OBJECTIVE_MS = 1;

  final String id;
  final RequestClass requestClass;

  /** The capabilities from the settings under which the request was read. */
  final Capabilities capabilities;

  final QuotaReservation reservation;
  final RequestAttempts attempts;
  final RequestRouting routing;

  /** Time of receipt. For a request received before its body, the time of the body's last byte. */
  double receivedAtMs;

  /** When the client stops waiting; infinite while the body is incomplete. */
  double deadlineAtMs;

  /** Whether the body is still being received, and is forwarded to the backend meanwhile. */
  boolean receivingBody;

  /** The attempt in progress, or null. */
  AttemptRecord currentAttempt;

  /** The backend of the latest attempt whose connection timed out, or null. */
  BackendStatus connectTimedOutBackend;

  /** Whether the request is waiting because no backend is usable. */
  boolean awaitingBackend;

  /**
   * Creates the state of a request that has just been received.
   *
   * @param event the event that reported the request
   * @param requestClass the request class that applies to it
   * @param capabilities the capabilities that apply to it
   * @param reservation its quota reservation
   * @param nowMs the current time
   */
  OpenRequest(
      RequestReceived event,
      RequestClass requestClass,
      Capabilities capabilities,
      QuotaReservation reservation,
      double nowMs) {
    this.id = event.requestId();
    this.requestClass = requestClass;
    this.capabilities = capabilities;
    this.reservation = reservation;
    receivedAtMs = nowMs;
    deadlineAtMs = event.deadlineAtMs();
    receivingBody = Double.isInfinite(deadlineAtMs);
    attempts = new RequestAttempts(requestClass, capabilities, receivingBody);
    routing = new RequestRouting(requestClass);
  }

  /**
   * Returns the class of a received request. If the settings define no such class, the request is
   * treated as not idempotent.
   */
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

  /**
   * Returns the latency objective of the request's class or, if the class has none, the time from
   * receipt to the deadline.
   */
  double latencyObjectiveMs() {
    if (requestClass.latencyObjectiveMs() > 0) {
      return requestClass.latencyObjectiveMs();
    }
    return Math.max(MIN_LATENCY_OBJECTIVE_MS, deadlineAtMs - receivedAtMs);
  }
}
