package quotagateway.backend;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import quotagateway.policy.event.Status;
import quotagateway.transport.ProtocolHeaders;

/**
 * One attempt to send a request to one backend. The policy starts it, and it ends with exactly one
 * status. Subclasses receive the response and the status. Confined to the event loop's thread.
 * Times are in milliseconds; points in time are on the gateway's clock.
 *
 * <p>An attempt waits for a connection, has its request written to it, and ends. The first of a
 * response, a closed connection, a timeout and a cancellation ends the attempt; later ones have no
 * effect.
 */
public abstract class Attempt {

  /** Progress in sending the request. */
  private enum State {
    /** The attempt has no connection, so the backend cannot have received anything. */
    WAITING_FOR_CONNECTION,
    /** The request is being written. A backend does not execute a request without its last byte. */
    WRITING,
    /** The kernel has the last byte of the request, so the backend may have executed it. */
    WRITTEN
  }

  private final HttpRequest head;
  private final RequestBody body;
  private final double timeoutMs;
  private State state = State.WAITING_FOR_CONNECTION;
  private double deadlineMs = Double.POSITIVE_INFINITY;
  private double writeDeadlineMs = Double.POSITIVE_INFINITY;

  private InetSocketAddress backendAddress;
  private boolean awaitsConnection;

  /** Null, like the writer, until the attempt has a connection. */
  private BackendConnection connection;

  private RequestWriter writer;
  private Future<?> timeoutTimer;
  private boolean responseStarted;
  private boolean ended;

  /**
   * Creates an attempt that has not been started.
   *
   * @param head the request head to send; its timeout header is set when the head is written
   * @param body the request body, owned by the request, which may have further attempts
   * @param timeoutMs the timeout from the start of the attempt; infinite while the body is
   *     incomplete, because the timeout then runs from the end of the body
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

  /**
   * Returns the deadline, or infinity while the attempt has not started or its timeout is unknown.
   */
  final double deadlineMs() {
    return deadlineMs;
  }

  /** Returns the time by which the last byte of the request must be written. */
  final double writeDeadlineMs() {
    return writeDeadlineMs;
  }

  /** Sets the time by which the last byte of the request must be written. */
  final void setWriteDeadline(double newWriteDeadlineMs) {
    writeDeadlineMs = newWriteDeadlineMs;
  }

  /**
   * Sets the deadline and the timer that enforces it. The timer is cancelled when a streamed
   * response starts or the attempt ends.
   */
  final void setDeadline(double newDeadlineMs, Future<?> timer) {
    deadlineMs = newDeadlineMs;
    timeoutTimer = timer;
  }

  /**
   * Ends the attempt at its deadline, unless its response is arriving and can be streamed from now
   * on.
   */
  final void onTimeout() {
    if (connection == null || !connection.streamArrivingResponse()) {
      abandon(statusIfTimedOut());
    }
  }

  /** Lets the attempt wait for its connection for longer than the connect timeout. */
  public final void awaitConnection() {
    awaitsConnection = true;
  }

  final boolean awaitsConnection() {
    return awaitsConnection;
  }

  final void setBackendAddress(InetSocketAddress address) {
    backendAddress = address;
  }

  /** Returns the address of the backend, or null if it was not known at the attempt's start. */
  public final InetSocketAddress backendAddress() {
    return backendAddress;
  }

  /** Marks the request as being written to a connection. */
  final void attachTo(BackendConnection newConnection, RequestWriter newWriter) {
    connection = newConnection;
    writer = newWriter;
    state = State.WRITING;
  }

  final void markWritten() {
    state = State.WRITTEN;
  }

  /**
   * Returns whether the kernel has the last byte of the request. From then on the backend may have
   * executed it.
   */
  public final boolean isWritten() {
    return state == State.WRITTEN;
  }

  /**
   * Returns whether the request is a POST without an idempotency key, which must never be executed
   * twice.
   */
  final boolean isNonIdempotent() {
    return head.method().equals(HttpMethod.POST)
        && !head.headers().contains(ProtocolHeaders.IDEMPOTENCY_KEY);
  }

  /** Returns the progress of the attempt, for the log. */
  public final String progress() {
    return responseStarted ? "STREAMING" : state.name();
  }

  /** Returns whether the attempt has its final status. */
  public final boolean hasEnded() {
    return ended;
  }

  /** Returns whether streaming of the response to the client has started. */
  public final boolean hasResponseStarted() {
    return responseStarted;
  }

  /** Returns the final status for a malformed or stalled response. */
  final Status statusIfMalformed() {
    if (!isWritten()) {
      return Status.WRITE_INCOMPLETE;
    }
    return responseStarted ? Status.RESET : Status.MALFORMED_RESPONSE;
  }

  /**
   * Returns the final status for a connection that closes before the response is complete. Only the
   * progress of the write tells whether the backend may have executed the request.
   *
   * @param deadWhenReused whether the connection was reused and closed before any part of this
   *     attempt's response arrived, which is not counted against the backend
   */
  final Status statusIfConnectionClosed(boolean deadWhenReused) {
    if (!isWritten()) {
      return Status.WRITE_INCOMPLETE;
    }
    return deadWhenReused ? Status.MALFORMED_RESPONSE : Status.RESET;
  }

  /**
   * Returns the final status for a timeout. A timeout without a connection says nothing about the
   * backend, and a request that was not written completely was not executed.
   */
  final Status statusIfTimedOut() {
    return switch (state) {
      case WAITING_FOR_CONNECTION -> Status.NOT_SENT;
      case WRITING -> Status.WRITE_INCOMPLETE;
      case WRITTEN -> Status.TIMED_OUT;
    };
  }

  /** Returns the final status if the backend does not take the request in time. */
  public final Status statusIfStalled() {
    return state == State.WRITING ? Status.WRITE_STALLED : statusIfCancelled();
  }

  /** Returns the final status if the response has stalled and another attempt replaces it. */
  public final Status statusIfResponseStalled() {
    return isWritten() ? Status.RESPONSE_STALLED : statusIfTimedOut();
  }

  /** Returns the final status for a cancellation. */
  public final Status statusIfCancelled() {
    return isWritten() ? Status.CANCELLED : statusIfTimedOut();
  }

  /**
   * Starts to stream the response to the client and cancels the timeout, which does not apply to
   * streaming.
   *
   * @return whether the response is still wanted
   */
  final boolean startResponse(HttpResponse response) {
    responseStarted = true;
    cancelTimeoutTimer();
    return onResponseStart(response);
  }

  /** Resumes reading the response after a pause for back pressure from the client. */
  public final void resume() {
    if (!ended && connection != null) {
      connection.resume();
    }
  }

  /** Ends the attempt. Later calls are ignored, so that the policy gets exactly one status. */
  final void end(Status status, FullHttpResponse response) {
    if (ended) {
      return;
    }
    ended = true;
    cancelTimeoutTimer();
    body.detach(writer);
    onEnd(status, response);
  }

  private void cancelTimeoutTimer() {
    if (timeoutTimer != null) {
      timeoutTimer.cancel(false);
    }
  }

  /**
   * Ends the attempt without waiting for a response. The connection is closed first, because the
   * policy may start the next attempt as soon as this one ends, and at most one copy of the request
   * may be in flight on an open connection.
   */
  public final void abandon(Status status) {
    if (ended) {
      return;
    }
    if (connection != null) {
      connection.closeAndDetachAttempt();
    }
    end(status, null);
  }

  /**
   * Checks, as the last step before the request is written, whether the response is still wanted,
   * and ends the attempt if it is not. Without this check, requests of disconnected clients would
   * be sent: an event loop that was stalled, or that has paused reading from the client, has not
   * processed the disconnection yet.
   *
   * @return whether the attempt goes on
   */
  public boolean endUnlessWanted() {
    return !ended;
  }

  /**
   * Reserves the memory that streaming needs. Called before {@link #onResponseStart}, until it
   * returns true.
   *
   * @return whether streaming may start
   */
  public boolean reserveStreamMemory() {
    return true;
  }

  /**
   * Called while a response that is not streamed is incomplete: when its first bytes have arrived,
   * when it stalls, and when it goes on after a stall. May end the attempt.
   *
   * @param stalled whether no part of the response has arrived for a while
   */
  public void onResponseProgress(boolean stalled) {}

  /**
   * Called when streaming starts, for a response that is too large to buffer, or that announces no
   * length and is incomplete at a progress check.
   *
   * @return whether the response is still wanted
   */
  public boolean onResponseStart(HttpResponse response) {
    return false;
  }

  /**
   * Called for each piece of a streamed response.
   *
   * @param piece remains owned by the caller
   * @return whether reading may continue now; if false, it pauses until {@link #resume}
   */
  public boolean onResponseContent(HttpContent piece) {
    return false;
  }

  /**
   * Called once, when the attempt ends.
   *
   * @param response the buffered response, owned by the caller; null unless the status is OK and
   *     the response was not streamed
   */
  public abstract void onEnd(Status status, FullHttpResponse response);
}
