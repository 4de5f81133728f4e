package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import quotagateway.policy.event.Status;
import quotagateway.transport.MonotonicClock;

/**
 * Receives the response to the attempt that a connection carries: keeps it, or streams it with back
 * pressure from the client, and watches its progress. On the event loop's thread.
 */
final class ResponseReceiver {

  /** Who ends the attempt where no response can be had. */
  interface Listener {

    /** What came cannot be the response, or it stopped half way. */
    void responseMalformed();
  }

  private final Channel channel;
  private final Listener listener;
  private final ReceivedResponse response;
  private final StalledResponseTimer stallTimer;

  /** The attempt whose response is awaited, or null. */
  private Attempt attempt;

  /** Whether the connection broke: its end is then no response's end. */
  private boolean broken;

  /** Whether more has come than the one response. */
  private boolean excessReceived;

  /** Whether reading is paused, as the client takes no more of the response for now. */
  private boolean paused;

  ResponseReceiver(Channel channel, MonotonicClock clock, Listener listener) {
    this.channel = channel;
    this.listener = listener;
    response = new ReceivedResponse(channel.alloc());
    stallTimer = new StalledResponseTimer(channel.eventLoop(), clock, this::checkProgress);
  }

  /** From now on what comes is the response to this attempt. */
  void await(Attempt next) {
    attempt = next;
  }

  /** The attempt whose response is awaited, or null. */
  Attempt attempt() {
    return attempt;
  }

  /** What has come of the response. */
  ReceivedResponse response() {
    return response;
  }

  /** Whether more has come than the one response. */
  boolean excessReceived() {
    return excessReceived;
  }

  /** The connection broke. */
  void markBroken() {
    broken = true;
  }

  /**
   * Nothing that still comes is for the attempt.
   *
   * @return the attempt, which the caller ends, or null if there was none
   */
  Attempt detachAttempt() {
    Attempt detached = attempt;
    attempt = null;
    clearResponse();
    response.clearInformational();
    resume();
    return detached;
  }

  private void clearResponse() {
    response.clear();
    stallTimer.cancel();
  }

  /** Takes a decoded part while an attempt's response is awaited; the part is only lent. */
  void onPart(HttpObject part) {
    if (response.complete()) {
      excessReceived = true;
      return;
    }
    boolean secondHead = part instanceof HttpResponse && response.hasHead();
    if (part.decoderResult().isFailure() || secondHead) {
      listener.responseMalformed();
      return;
    }
    if (part instanceof HttpResponse head) {
      onHead(head);
    }
    if (attempt != null && part instanceof HttpContent content) {
      onContent(content);
    }
  }

  private void onHead(HttpResponse head) {
    if (!response.begin(head)) {
      listener.responseMalformed();
    } else if (response.announcedTooLarge()) {
      startStreaming();
    } else {
      response.allocateBody();
    }
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (broken && last && !ResponseClassifier.isFramed(response.head())) {
      // The decoder takes any end of the connection for the response's.
      return;
    }
    if (!attempt.hasResponseStarted() && !response.fits(content)) {
      startStreaming();
    }
    if (attempt != null && attempt.hasResponseStarted()) {
      stream(content);
    } else if (attempt != null) {
      response.append(content);
    }
    if (attempt != null && last) {
      if (ResponseClassifier.isInformational(response.head())) {
        clearResponse();
      } else {
        response.markComplete();
      }
    }
  }

  /**
   * Begins to stream the response to its client: it is too large to be kept, or so slow that its
   * client may wait for it. From then on no other attempt can replace it.
   */
  private void startStreaming() {
    if (!attempt.isWritten() || ResponseClassifier.classify(response.head()) != Status.OK) {
      listener.responseMalformed();
      return;
    }
    boolean wanted = attempt.startResponse(response.head());
    if (attempt == null) {
      return;
    }
    ByteBuf kept = response.body();
    if (!wanted) {
      attempt.abandon(Status.CANCELLED);
    } else if (kept != null && kept.isReadable()) {
      stream(new DefaultHttpContent(kept));
    }
  }

  private void stream(HttpContent content) {
    boolean moreWanted = attempt.onResponseContent(content);
    if (!moreWanted && attempt != null && !(content instanceof LastHttpContent)) {
      paused = true;
      channel.config().setAutoRead(false);
    }
  }

  /** The client can take more of the response. */
  void resume() {
    if (paused) {
      paused = false;
      stallTimer.recordProgress();
      channel.config().setAutoRead(true);
    }
  }

  /**
   * A read is finished, and the response is not complete.
   *
   * @param moreUndecoded whether bytes have come that are not decoded yet
   */
  void watchProgress(boolean moreUndecoded) {
    if (response.hasHead() || moreUndecoded) {
      stallTimer.recordProgress();
      stallTimer.ensureScheduled();
    }
  }

  private void checkProgress() {
    if (!paused && stallTimer.isStalled(attempt.hasResponseStarted())) {
      listener.responseMalformed();
      return;
    }
    if (mayBeSlowByIntent()) {
      startStreaming();
    }
    if (attempt != null) {
      stallTimer.ensureScheduled();
    }
  }

  /** Where no length is announced the response may be one whose first bytes its client awaits. */
  private boolean mayBeSlowByIntent() {
    return !attempt.hasResponseStarted()
        && response.hasHead()
        && response.body() != null
        && !HttpUtil.isContentLengthSet(response.head())
        && attempt.isWritten()
        && ResponseClassifier.classify(response.head()) == Status.OK;
  }
}
