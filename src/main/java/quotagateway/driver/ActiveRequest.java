package quotagateway.driver;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import quotagateway.backend.Attempt;
import quotagateway.backend.RequestBody;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;
import quotagateway.transport.EventLog;
import quotagateway.transport.LogEvent;

/**
 * State of one request from its acceptance until its final response is decided and none of its
 * attempts is in flight. Confined to the event loop's thread. Times are in milliseconds of the
 * gateway's clock.
 */
final class ActiveRequest {

  /**
   * Time before the client's deadline at which a request fails if the policy has left it
   * unanswered. The error response needs this time to reach the client. Every response that the
   * policy decides on is sent earlier.
   */
  private static final double DEADLINE_MARGIN_MS = 6;

  final HttpRequest head;
  final RequestBody body;
  final ResponseListener listener;
  private final RequestReceived request;
  private final List<Attempt> attempts = new ArrayList<>(1);
  private int attemptsInFlight;

  private double acceptedAtMs;

  /** How the latest attempt ended, or null if none has. */
  private Status lastStatus;

  /** Infinite until the body is complete. */
  private double deadlineAtMs;

  /** When the last byte of the body was received; 0 until then. */
  private double bodyCompleteAtMs;

  /** Null until the body is complete. */
  private Future<?> deadlineTimer;

  /** Whether the final response is decided or the client has disconnected. */
  private boolean finished;

  /** Whether the final response is, or was, streamed to the client. */
  private boolean streaming;

  /** When the streamed response started; 0 until then. */
  private double streamingSinceMs;

  ActiveRequest(
      RequestReceived request, HttpRequest head, RequestBody body, ResponseListener listener) {
    this.request = request;
    this.head = head;
    this.body = body;
    this.listener = listener;
    deadlineAtMs = request.deadlineAtMs();
  }

  void markAccepted(double nowMs) {
    acceptedAtMs = nowMs;
  }

  /**
   * Begins a log line with the request's state: how many attempts were started, how long it has
   * been open and how much time is left.
   */
  EventLog.Line logLine(LogEvent event, String reason, double nowMs) {
    return EventLog.current()
        .line(event, reason)
        .with("request", id())
        .with("attempts", attempts.size())
        .withMs("age_ms", nowMs - acceptedAtMs)
        .withMs("left_ms", deadlineAtMs - nowMs);
  }

  String id() {
    return request.requestId();
  }

  double deadlineAtMs() {
    return deadlineAtMs;
  }

  double bodyCompleteAtMs() {
    return bodyCompleteAtMs;
  }

  /**
   * Schedules a callback shortly before the request's deadline, unless the request finishes first.
   * Called when the body is complete.
   *
   * <p>Without this timer, a client would get no response if the policy, because of a defect, never
   * decided on one. The drawback is that a response in the last 6 ms before the deadline is lost.
   *
   * @param onDeadline fails the request
   */
  void startDeadlineTimer(EventLoop loop, double nowMs, double deadlineAtMs, Runnable onDeadline) {
    this.deadlineAtMs = deadlineAtMs;
    bodyCompleteAtMs = nowMs;
    double delayMs = Math.max(0, deadlineAtMs - DEADLINE_MARGIN_MS - nowMs);
    deadlineTimer = loop.schedule(onDeadline, (long) (delayMs * 1000), TimeUnit.MICROSECONDS);
  }

  boolean isFinished() {
    return finished;
  }

  /** Claims the request's only final response. Returns true for the first call only. */
  boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    return true;
  }

  boolean isStreaming() {
    return streaming;
  }

  double streamingSinceMs() {
    return streamingSinceMs;
  }

  void startStreaming(double nowMs) {
    streaming = true;
    streamingSinceMs = nowMs;
  }

  /** Returns how many attempts have been started, which is also the number of the next attempt. */
  int attemptCount() {
    return attempts.size();
  }

  /** Returns the attempt with this number, or null if none has been started. */
  Attempt attempt(int number) {
    return number < attempts.size() ? attempts.get(number) : null;
  }

  /** Returns the most recent attempt if any attempt is in flight, else null. */
  Attempt lastAttemptInFlight() {
    return attemptsInFlight > 0 ? attempts.get(attempts.size() - 1) : null;
  }

  /** Returns how the latest attempt ended, or null if none has. */
  Status lastStatus() {
    return lastStatus;
  }

  void onAttemptStarted(Attempt attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
  }

  void onAttemptEnded(Status status) {
    attemptsInFlight--;
    lastStatus = status;
  }

  /** Cancels all attempts that have not ended. */
  void cancelAttempts() {
    cancelAttempts(attempt -> true);
  }

  /** Cancels the attempts whose last byte is not written yet, so that it is never written. */
  void cancelUnwrittenAttempts() {
    cancelAttempts(attempt -> !attempt.isWritten());
  }

  private void cancelAttempts(Predicate<Attempt> condition) {
    // Iterates over a copy because the policy may start an attempt when another ends.
    for (Attempt attempt : List.copyOf(attempts)) {
      if (condition.test(attempt)) {
        attempt.abandon(attempt.statusIfCancelled());
      }
    }
  }

  /** Returns whether the request is finished and none of its attempts is in flight. */
  boolean isComplete() {
    return finished && attemptsInFlight == 0;
  }
}
