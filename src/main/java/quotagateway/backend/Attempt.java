package quotagateway.backend;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import quotagateway.policy.event.Status;
import quotagateway.transport.ProtocolHeaders;

/**
 * One attempt of a request at one backend, from the policy's action to its one status. Subclasses
 * get the response and the end. On the event loop's thread; times are in milliseconds, points in
 * time on the gateway's clock.
 *
 * <p>An attempt waits for a connection, is written on it, and ends; whatever comes first of a
 * response, a broken connection, its time-out and its cancellation ends it, and only that.
 */
public abstract class Attempt {

  /** How far its request has got. */
  private enum State {
    /** It has no connection yet: its backend cannot know of it. */
    WAITING_FOR_CONNECTION,
    /** It is being written: a backend does not execute a request without its last byte. */
    WRITING,
    /** Its last byte went to the kernel: from then on the backend may have executed it. */
    WRITTEN
  }

  private final HttpRequest head;
  private final RequestBody body;
  private final double timeoutMs;
  private State state = State.WAITING_FOR_CONNECTION;
  private double dueAtMs = Double.POSITIVE_INFINITY;
  private double writeByMs = Double.POSITIVE_INFINITY;

  /** Both null until it has a connection. */
  private BackendConnection connection;

  private RequestWriter writer;
  private Future<?> timer;
  private boolean responseStarted;
  private boolean ended;

  /**
   * @param head of the request as it is written; the time-out in it is set when it is written
   * @param body lent; belongs to the request, which may have further attempts
   * @param timeoutMs infinite while the body is still to come: the time counts from its end
   */
  protected Attempt(HttpRequest head, RequestBody body, double timeoutMs) {
    this.head = head;
    this.body = body;
    this.timeoutMs = timeoutMs;
  }

  final HttpRequest head() {
    return head;
  }

  final RequestBody body() {
    return body;
  }

  final double timeoutMs() {
    return timeoutMs;
  }

  /** When its time is up; infinite before it has been started, and where that is not known. */
  final double dueAtMs() {
    return dueAtMs;
  }

  /** When it must have been written. */
  final double writeByMs() {
    return writeByMs;
  }

  /** It is started now, with so much time in all and until its last byte is written. */
  final void startTimes(double nowMs, double maxWriteMs) {
    dueAtMs = nowMs + timeoutMs;
    writeByMs = nowMs + maxWriteMs;
  }

  /** Fires when its time is up; is cancelled when its response starts, or it ends before. */
  final void setTimer(Future<?> timer) {
    this.timer = timer;
  }

  /** It is being written on a connection, by that writer. */
  final void attachTo(BackendConnection carrier, RequestWriter requestWriter) {
    connection = carrier;
    writer = requestWriter;
    state = State.WRITING;
  }

  final void markWritten() {
    state = State.WRITTEN;
  }

  /** Whether its last byte went to the kernel: from then on the backend may have executed it. */
  public final boolean isWritten() {
    return state == State.WRITTEN;
  }

  /**
   * Whether the protocol has it that this request must never be executed twice: it is posted
   * without an idempotency key.
   */
  final boolean mustNotRepeat() {
    return head.method().equals(HttpMethod.POST)
        && !head.headers().contains(ProtocolHeaders.IDEMPOTENCY_KEY);
  }

  /** Whether it has its status. */
  public final boolean hasEnded() {
    return ended;
  }

  /** Whether its response is, or was, streamed to the client. */
  public final boolean hasResponseStarted() {
    return responseStarted;
  }

  /** How it ends if what comes cannot be its response. */
  final Status statusIfMalformed() {
    if (!isWritten()) {
      return Status.WRITE_INCOMPLETE;
    }
    return responseStarted ? Status.RESET : Status.MALFORMED_RESPONSE;
  }

  /**
   * How it ends if its connection breaks: whether it may have been executed shows in the write
   * alone.
   *
   * @param deadWhenReused whether the connection had been idle before, and nothing came of this
   *     attempt's response: that is not the backend's fault
   */
  final Status statusIfBroken(boolean deadWhenReused) {
    if (!isWritten()) {
      return Status.WRITE_INCOMPLETE;
    }
    return deadWhenReused ? Status.MALFORMED_RESPONSE : Status.RESET;
  }

  /**
   * How it ends if its time is up: without a connection that says nothing of its backend, and one
   * that was not written completely was not executed.
   */
  final Status statusIfTimedOut() {
    return switch (state) {
      case WAITING_FOR_CONNECTION -> Status.NOT_SENT;
      case WRITING -> Status.WRITE_INCOMPLETE;
      case WRITTEN -> Status.TIMED_OUT;
    };
  }

  /** How it ends if it is cancelled. */
  public final Status statusIfCancelled() {
    return isWritten() ? Status.CANCELLED : statusIfTimedOut();
  }

  /**
   * From here on its response is streamed to the client, however long that takes.
   *
   * @return false if it is not wanted
   */
  final boolean startResponse(HttpResponse response) {
    responseStarted = true;
    cancelTimer();
    return onResponseStart(response);
  }

  /** The client takes more of its response. */
  public final void resume() {
    if (!ended && connection != null) {
      connection.resume();
    }
  }

  /** Ends it; later ends are ignored, so that the policy gets exactly one status. */
  final void end(Status status, FullHttpResponse response) {
    if (ended) {
      return;
    }
    ended = true;
    cancelTimer();
    body.detach(writer);
    onEnd(status, response);
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  /**
   * Stops waiting for it. The connection is closed first: a response may still come on it, and the
   * end may make the policy start the next attempt at once, while no more than one copy may be out
   * on an open connection.
   */
  public final void abandon(Status status) {
    if (ended) {
      return;
    }
    if (connection != null) {
      connection.closeUnderAttempt();
    }
    end(status, null);
  }

  /**
   * Called last before the request is written: ends the attempt, and gives false, where nobody
   * waits for its response any more. Prevents attempts for clients that have left: an event loop
   * that was held up, or that has paused reading, has not heard of it yet.
   */
  public boolean endUnlessWanted() {
    return !ended;
  }

  /**
   * A response starts that is too large to be kept, or too slow.
   *
   * @return whether it is wanted
   */
  public boolean onResponseStart(HttpResponse response) {
    return false;
  }

  /**
   * A piece of that response has come, which is only lent.
   *
   * @return whether more is wanted now
   */
  public boolean onResponseContent(HttpContent piece) {
    return false;
  }

  /**
   * It has ended.
   *
   * @param response lent; null unless the status is OK and the response was kept
   */
  public abstract void onEnd(Status status, FullHttpResponse response);
}
