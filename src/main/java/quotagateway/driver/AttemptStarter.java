package quotagateway.driver;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import quotagateway.backend.Attempt;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.ResponseProgress;
import quotagateway.policy.event.ResponseStarted;
import quotagateway.policy.event.Status;
import quotagateway.transport.LogEvent;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.ProtocolHeaders;

/**
 * Starts the attempts that the policy decides on, passes their responses to the clients, and
 * reports the outcome of each attempt to the policy exactly once. Confined to the event loop's
 * thread.
 */
final class AttemptStarter {

  private final MonotonicClock clock;
  private final BackendConnectionPool backends;
  private final ActiveRequests requests;
  private final Consumer<Event> events;
  private final Consumer<String> onClientDisconnected;

  /**
   * @param events receives the events for the policy
   * @param onClientDisconnected receives the id of a request whose client is found to have
   *     disconnected
   */
  AttemptStarter(
      MonotonicClock clock,
      BackendConnectionPool backends,
      ActiveRequests requests,
      Consumer<Event> events,
      Consumer<String> onClientDisconnected) {
    this.clock = clock;
    this.backends = backends;
    this.requests = requests;
    this.events = events;
    this.onClientDisconnected = onClientDisconnected;
  }

  /**
   * Starts an attempt, or reports it as not sent if its request is finished or no longer active.
   *
   * <p>The policy's time limits count from its decision, but executing a batch of actions can take
   * long on a share of a core. The time since the decision is therefore subtracted from the limits,
   * so that no request is written after its limit. The drawback is that attempts get less time when
   * the event loop is late.
   *
   * @param decidedAtMs when the policy decided on the attempt
   */
  void start(StartAttempt action, double decidedAtMs) {
    ActiveRequest request = requests.get(action.requestId());
    if (request == null || request.isFinished()) {
      int number = request == null ? 0 : request.attemptCount();
      events.accept(
          new AttemptEnded(
              action.requestId(), number, action.endpointId(), Status.NOT_SENT, 0, true, 0, null));
      return;
    }
    double startedAtMs = clock.now();
    double latenessMs = startedAtMs - decidedAtMs;
    double timeoutMs =
        action.timeoutMs() > 0
            ? action.timeoutMs() - latenessMs
            : request.deadlineAtMs() - startedAtMs;
    Attempt attempt =
        new RequestAttempt(
            request, request.attemptCount(), action.endpointId(), startedAtMs, timeoutMs);
    if (request.lastStatus() != null) {
      request.logLine(LogEvent.ATTEMPT_RETRIED, request.lastStatus().name(), startedAtMs).write();
    }
    if (action.awaitConnection()) {
      attempt.awaitConnection();
    }
    request.onAttemptStarted(attempt);
    backends.start(action.endpointId(), attempt, action.maxStartDelayMs() - latenessMs);
  }

  /** An attempt of an active request. */
  private final class RequestAttempt extends Attempt {
    private final ActiveRequest request;
    private final int number;
    private final long endpointId;
    private final double startedAtMs;

    /** Units charged according to the header of a streamed response; 0 if not stated. */
    private double streamedChargedUnits;

    RequestAttempt(
        ActiveRequest request, int number, long endpointId, double startedAtMs, double timeoutMs) {
      super(request.head, request.body, timeoutMs);
      this.request = request;
      this.number = number;
      this.endpointId = endpointId;
      this.startedAtMs = startedAtMs;
    }

    @Override
    public boolean endUnlessWanted() {
      if (!hasEnded() && !request.isFinished() && request.listener.endIfDisconnected()) {
        onClientDisconnected.accept(request.id());
      }
      return super.endUnlessWanted();
    }

    @Override
    public boolean reserveStreamMemory() {
      return request.listener.reserveStreamMemory();
    }

    @Override
    public boolean onResponseStart(HttpResponse response) {
      streamedChargedUnits = chargedUnits(response);
      if (!request.finish()) {
        return false;
      }
      request.startStreaming(clock.now());
      request.listener.onResponseStart(response, this);
      events.accept(new ResponseStarted(request.id(), number));
      return true;
    }

    @Override
    public void onResponseProgress(boolean stalled) {
      events.accept(new ResponseProgress(request.id(), number, stalled));
    }

    @Override
    public boolean onResponseContent(HttpContent content) {
      return request.listener.onResponseContent(content);
    }

    @Override
    public void onEnd(Status status, FullHttpResponse response) {
      double chargedUnits = response == null ? streamedChargedUnits : chargedUnits(response);
      double latencyMs = latencyMs();
      request.onAttemptEnded(status);
      logEnd(status);
      if (request.isStreaming()) {
        request.listener.onResponseEnd(status == Status.OK);
      } else if (response != null && request.finish()) {
        request.listener.onResponse(response);
      }
      events.accept(
          new AttemptEnded(
              request.id(),
              number,
              endpointId,
              status,
              latencyMs,
              request.isFinished(),
              chargedUnits,
              null));
      requests.removeIfComplete(request);
    }

    private void logEnd(Status status) {
      if (status != Status.OK) {
        double nowMs = clock.now();
        request
            .logLine(LogEvent.ATTEMPT_ENDED, status.name(), nowMs)
            .with("attempt", number)
            .with("backend", backendAddress())
            .with("state", progress())
            .withMs("attempt_ms", nowMs - startedAtMs)
            .write();
      }
    }

    /**
     * Returns the time to the response's start if it is streamed, else to the attempt's end. Counts
     * from the request's last byte or the attempt's start, whichever is later.
     */
    private double latencyMs() {
      boolean streamed = hasResponseStarted() && request.isStreaming();
      double responseAtMs = streamed ? request.streamingSinceMs() : clock.now();
      return Math.max(0, responseAtMs - Math.max(startedAtMs, request.bodyCompleteAtMs()));
    }
  }

  /**
   * Returns the units charged for a response; 0 if its header is missing or not a positive number.
   */
  private static double chargedUnits(HttpResponse response) {
    String header = response.headers().get(ProtocolHeaders.UNITS_CHARGED);
    if (header == null) {
      return 0;
    }
    try {
      double units = Double.parseDouble(header);
      return Double.isFinite(units) && units > 0 ? units : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
