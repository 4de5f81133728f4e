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

/**
 * One request, from when it is accepted until it has its final response and none of its attempts is
 * in flight. Owned by the event loop's thread. Times are in milliseconds of the gateway's clock.
 */
final class ActiveRequest {

  /**
   * How long before the client's deadline a request fails that the policy left unanswered: the
   * response has to reach the client, and every response that the policy decides on comes earlier.
   */
  private static final double DEADLINE_MARGIN_MS = 6;

  final HttpRequest head;
  final RequestBody body;
  final ResponseListener listener;
  private final RequestReceived request;
  private final List<Attempt> attempts = new ArrayList<>(1);
  private int attemptsInFlight;

  /** Infinite while the body is still coming. */
  private double deadlineAtMs;

  /** When the last byte of the body came; 0 while it is still coming. */
  private double bodyCompleteAtMs;

  /** Null while the body is still coming. */
  private Future<?> deadlineTimer;

  /** Whether the final response is decided on, or the client is gone. */
  private boolean finished;

  /** Whether the final response is streamed to the client, and since when. */
  private boolean streaming;

  private double streamingSinceMs;

  ActiveRequest(
      RequestReceived request, HttpRequest head, RequestBody body, ResponseListener listener) {
    this.request = request;
    this.head = head;
    this.body = body;
    this.listener = listener;
    deadlineAtMs = request.deadlineAtMs();
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
   * Has the request fail shortly before its deadline, unless it is finished by then.
   *
   * <p>Prevents a client from waiting in vain where the policy, by a fault of its own, decides on
   * nothing. Cost: a response in the last 6 ms is given up.
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

  /** Claims the one final response; true for the first caller only. */
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

  /** How many attempts were started; the number of the next one. */
  int attemptCount() {
    return attempts.size();
  }

  /** The attempt of that number, or null where none was started. */
  Attempt attempt(int number) {
    return number < attempts.size() ? attempts.get(number) : null;
  }

  /** The last attempt if one is in flight, else null. */
  Attempt lastAttemptInFlight() {
    return attemptsInFlight > 0 ? attempts.get(attempts.size() - 1) : null;
  }

  void attemptStarted(Attempt attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
  }

  void attemptEnded() {
    attemptsInFlight--;
  }

  /** Cancels all attempts in flight. */
  void cancelAttempts() {
    cancelAttempts(attempt -> true);
  }

  /** Cancels the attempts that are not written yet, so that they never are. */
  void cancelUnwrittenAttempts() {
    cancelAttempts(attempt -> !attempt.isWritten());
  }

  private void cancelAttempts(Predicate<Attempt> which) {
    // A copy, as the end of one attempt may have the policy start another.
    for (Attempt attempt : List.copyOf(attempts)) {
      if (which.test(attempt)) {
        attempt.abandon(attempt.statusIfCancelled());
      }
    }
  }

  /** Whether it has its final response and the policy has the outcome of each attempt. */
  boolean isOver() {
    return finished && attemptsInFlight == 0;
  }
}
