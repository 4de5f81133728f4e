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
import quotagateway.policy.event.ResponseStarted;
import quotagateway.policy.event.Status;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.ProtocolHeaders;

/**
 * Starts the attempts that the policy decides on, passes their responses to the clients, and
 * reports each attempt's one outcome to the policy. Owned by the event loop's thread.
 */
final class AttemptStarter {

  private final MonotonicClock clock;
  private final BackendConnectionPool backends;
  private final ActiveRequests requests;
  private final Consumer<Event> events;
  private final Consumer<String> onClientDisconnected;
  private int streamingResponses;

  /**
   * @param events takes what is reported to the policy
   * @param onClientDisconnected takes the id of a request whose client turns out to be gone
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

  /** How many responses are being streamed to clients. */
  int streamingResponses() {
    return streamingResponses;
  }

  /**
   * Starts an attempt, or reports it as not sent where its request is finished.
   *
   * <p>Prevents a write after its time: the policy's times count from its decision, while a batch
   * of actions may take long on a share of a core. So the time that has passed since is subtracted
   * here. Cost: where the loop is late, attempts get less time.
   *
   * @param decidedAtMs when the policy decided on it
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
    request.attemptStarted(attempt);
    backends.start(action.endpointId(), attempt, action.maxStartDelayMs() - latenessMs);
  }

  /** An attempt of an active request. */
  private final class RequestAttempt extends Attempt {
    private final ActiveRequest request;
    private final int number;
    private final long endpointId;
    private final double startedAtMs;

    /** What a streamed response says that it is charged. */
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
    public boolean onResponseStart(HttpResponse response) {
      streamedChargedUnits = chargedUnits(response);
      if (!request.finish()) {
        return false;
      }
      request.startStreaming(clock.now());
      streamingResponses++;
      request.listener.onResponseStart(response, this);
      events.accept(new ResponseStarted(request.id(), number));
      return true;
    }

    @Override
    public boolean onResponseContent(HttpContent content) {
      return request.listener.onResponseContent(content);
    }

    @Override
    public void onEnd(Status status, FullHttpResponse response) {
      double chargedUnits = response == null ? streamedChargedUnits : chargedUnits(response);
      double latencyMs = latencyMs();
      request.attemptEnded();
      if (request.isStreaming()) {
        streamingResponses--;
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
      requests.removeIfOver(request);
    }

    /** From the request's last byte, or the attempt's start if that is later, to the response. */
    private double latencyMs() {
      boolean streamed = hasResponseStarted() && request.isStreaming();
      double responseAtMs = streamed ? request.streamingSinceMs() : clock.now();
      return Math.max(0, responseAtMs - Math.max(startedAtMs, request.bodyCompleteAtMs()));
    }
  }

  /** 0 where the response does not say, or what it says is not a positive number. */
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
