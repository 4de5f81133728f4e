package quotagateway.backend;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import quotagateway.policy.event.Status;
import quotagateway.transport.ProtocolHeaders;

/** One attempt of a request at one backend, from the module's send to its one outcome. */
public abstract class Attempt {

  final HttpRequest head;
  final RequestBody body;

  /** Infinite while the body is still to come: the time counts from its end. */
  final double timeoutMs;

  /** When that time is up, on the clock; known once the attempt has started. */
  double dueAt = Double.POSITIVE_INFINITY;

  /** When it must have been written, on the clock. */
  double writeBy = Double.POSITIVE_INFINITY;

  /** Null while the attempt has no connection yet. */
  BackendConnection connection;

  /**
   * True once the request's last byte went to the kernel: from then on the backend may have run it.
   */
  public boolean written;

  /** Fires when the attempt's time is up. */
  Future<?> timer;

  /** Its answer is being passed on to the client. */
  private boolean begun;

  private boolean ended;

  public Attempt(HttpRequest head, RequestBody body, double timeoutMs) {
    this.head = head;
    this.body = body;
    this.timeoutMs = timeoutMs;
  }

  /**
   * True when the protocol has it that this request must never run twice: it is posted without a
   * key.
   */
  final boolean once() {
    return head.method().equals(HttpMethod.POST)
        && !head.headers().contains(ProtocolHeaders.IDEMPOTENCY_KEY);
  }

  public final boolean ended() {
    return ended;
  }

  public final boolean begun() {
    return begun;
  }

  /**
   * How a broken connection ends this attempt: whether it may have run is told by the write alone.
   * Stale: the connection had been kept, and nothing came of this attempt's answer.
   */
  final Status broken(boolean stale) {
    if (!written) {
      return Status.WRITE_INCOMPLETE;
    }
    return stale ? Status.MALFORMED_RESPONSE : Status.RESET;
  }

  /**
   * How running out of time ends this attempt; one without a connection tells nothing of its
   * backend, and of one that was not written whole nothing ran.
   */
  final Status overdue() {
    return written
        ? Status.TIMED_OUT
        : connection == null ? Status.NOT_SENT : Status.WRITE_INCOMPLETE;
  }

  /** How calling it off ends this attempt. */
  public final Status cancelled() {
    return written ? Status.CANCELLED : overdue();
  }

  /**
   * From here on its answer goes to the client as it comes, however long that takes; false if
   * unwanted.
   */
  final boolean begin(HttpResponse answer) {
    begun = true;
    stopTimer();
    return onBegin(answer);
  }

  /** The client takes more of its answer. */
  public final void resume() {
    if (!ended && connection != null) {
      connection.resume();
    }
  }

  /** Ends the attempt; later endings are ignored, so that the module gets exactly one outcome. */
  final void end(Status status, FullHttpResponse answer) {
    if (ended) {
      return;
    }
    ended = true;
    stopTimer();
    body.leave(connection);
    onEnd(status, answer);
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  /**
   * Stops waiting. The connection is closed first, as an answer may still come on it, and as the
   * end may make the module send the next attempt at once: one copy at a time is out on an open
   * connection.
   */
  public final void abandon(Status status) {
    if (ended) {
      return;
    }
    if (connection != null) {
      connection.closeUnder();
    }
    end(status, null);
  }

  /**
   * The last look before the request is written: false, and the attempt has ended, where nobody
   * waits for its answer any more. Guards the rule on clients that have left: a loop that was held
   * up, or that has paused reading, has not heard of it yet.
   */
  public boolean wanted() {
    return !ended;
  }

  /** An answer begins that is too large to be held; true if it is wanted. */
  public boolean onBegin(HttpResponse answer) {
    return false;
  }

  /** A piece of that answer, only lent; true while more is wanted now. */
  public boolean onPiece(HttpContent piece) {
    return false;
  }

  /** The answer is only lent, and null unless the status is OK and the answer was held. */
  public abstract void onEnd(Status status, FullHttpResponse answer);
}
