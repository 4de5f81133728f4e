package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import quotagateway.policy.event.Status;
import quotagateway.transport.KernelSockets;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;
import quotagateway.transport.SocketTransport;

/**
 * Receives the response to the attempt that a connection carries. It buffers the response, or
 * streams it with back pressure from the client, and monitors its progress. Confined to the event
 * loop's thread.
 */
final class ResponseReceiver {

  /** Ends the attempt if there is no valid response. */
  interface Listener {

    /** Called when the response is malformed, or has stalled for too long. */
    void responseMalformed();
  }

  /**
   * Time after its deadline at which a streamed response ends if it has stalled and is still small
   * enough to be buffered: a small response has to be complete within half a second.
   */
  private static final double MAX_LATE_MS = 400;

  private final Channel channel;
  private final MonotonicClock clock;
  private final Listener listener;
  private final PeerMemory memory;
  private final ReceivedResponse response;
  private final ResponseProgressTimer progressTimer;

  /** The attempt that awaits a response, or null. */
  private Attempt attempt;

  /** Bytes of the body that have been streamed. */
  private long streamedBytes;

  /** Null unless the response is streamed and its length is unknown. */
  private Future<?> lateEndTimer;

  /** Whether the connection has failed, so that its close does not mark the end of a response. */
  private boolean connectionFailed;

  /** Whether data has been decoded after the end of the response. */
  private boolean unsolicitedDataReceived;

  /**
   * Whether reading is paused because the client does not accept more of the response, or because
   * the memory for the rest of it is missing.
   */
  private boolean paused;

  /** Whether the memory for the rest of the response is missing. */
  private boolean awaitingMemory;

  /** Whether the attempt has been told that its response has begun. */
  private boolean beginReported;

  /** Whether the attempt has been told that its response has stalled, and not of progress since. */
  private boolean stallReported;

  /**
   * Creates a receiver for one connection.
   *
   * @param memory bounds what responses hold
   */
  ResponseReceiver(Channel channel, MonotonicClock clock, PeerMemory memory, Listener listener) {
    this.channel = channel;
    this.clock = clock;
    this.listener = listener;
    this.memory = memory;
    response = new ReceivedResponse(channel.alloc(), memory.buffered());
    progressTimer = new ResponseProgressTimer(channel.eventLoop(), clock, this::checkProgress);
  }

  /** Starts to receive the response to an attempt. */
  void expectResponse(Attempt newAttempt) {
    attempt = newAttempt;
  }

  /** Returns the attempt that awaits a response, or null. */
  Attempt attempt() {
    return attempt;
  }

  /** Returns the response as received so far. */
  ReceivedResponse response() {
    return response;
  }

  /** Returns whether data has been decoded after the end of the response. */
  boolean unsolicitedDataReceived() {
    return unsolicitedDataReceived;
  }

  /** Records that the connection has failed. */
  void markConnectionFailed() {
    connectionFailed = true;
  }

  /**
   * Detaches the current attempt and discards its response. Data that arrives later does not reach
   * the attempt.
   *
   * @return the attempt, which the caller ends, or null if there was none
   */
  Attempt detachAttempt() {
    Attempt detached = detachCompletedAttempt();
    response.releaseMemory();
    return detached;
  }

  /**
   * Does the same for an attempt whose response has another owner from now on. The memory of the
   * response counts until the caller releases it, after the other owner has counted it.
   */
  Attempt detachCompletedAttempt() {
    Attempt detached = attempt;
    attempt = null;
    awaitingMemory = false;
    response.clearKeepingMemory();
    progressTimer.cancel();
    cancelLateEndTimer();
    beginReported = false;
    stallReported = false;
    response.resetInformationalCount();
    resume();
    return detached;
  }

  private void clearResponse() {
    response.clear();
    progressTimer.cancel();
  }

  /**
   * Processes a decoded part of the response to the current attempt.
   *
   * @param part remains owned by the caller
   */
  void onPart(HttpObject part) {
    if (response.isComplete()) {
      unsolicitedDataReceived = true;
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
    if (!response.start(head)) {
      listener.responseMalformed();
      return;
    }
    response.prepareBody();
    if (response.isTooLargeToBuffer()) {
      startStreaming();
    }
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (connectionFailed && last && !ResponseClassifier.isFramed(response.head())) {
      // The decoder treats any close of the connection as the end of the response.
      return;
    }
    if (!attempt.hasResponseStarted() && !response.fitsBuffer(content)) {
      startStreaming();
    }
    if (attempt != null && attempt.hasResponseStarted()) {
      stream(content);
    } else if (attempt != null) {
      append(content, last);
    }
    if (attempt != null && last) {
      if (ResponseClassifier.isInformational(response.head())) {
        clearResponse();
      } else {
        response.markComplete();
      }
    }
  }

  private void append(HttpContent content, boolean last) {
    response.append(content);
    if (!last && response.uncountedBytes() >= SocketTransport.MAX_READ_BYTES) {
      secureMemory();
    }
  }

  /**
   * Starts to stream the response to the client, because it is too large to buffer, or slow enough
   * that the client may be waiting for its first bytes. From then on no other attempt can replace
   * it. Reading pauses while the memory for it is missing.
   */
  private void startStreaming() {
    if (!isStreamable()) {
      listener.responseMalformed();
    } else if (!tryStream()) {
      awaitMemory();
    }
  }

  /** Starts to stream the response if it can be streamed and there is memory for that. */
  private boolean tryStream() {
    if (!isStreamable() || !attempt.reserveStreamMemory()) {
      return false;
    }
    streamFromStart();
    return true;
  }

  private boolean isStreamable() {
    return attempt.isWritten() && ResponseClassifier.classify(response.head()) == Status.OK;
  }

  private void streamFromStart() {
    awaitingMemory = false;
    resume();
    boolean wanted = attempt.startResponse(response.head());
    if (attempt == null) {
      return;
    }
    if (!wanted) {
      attempt.abandon(Status.CANCELLED);
      return;
    }
    scheduleLateEnd();
    ByteBuf bufferedBody = response.body();
    if (bufferedBody.isReadable()) {
      stream(new DefaultHttpContent(bufferedBody));
    }
    if (!paused) {
      response.releaseBody();
    }
  }

  /**
   * Pauses reading until there is memory for more of the response. The attempt's timeout limits the
   * pause.
   */
  private void awaitMemory() {
    if (awaitingMemory) {
      return;
    }
    awaitingMemory = true;
    pause();
    Attempt waitingAttempt = attempt;
    memory.buffered().whenReleased(() -> attempt != waitingAttempt || resumeIfMemoryAvailable());
    memory.streams().whenReleased(() -> attempt != waitingAttempt || resumeIfMemoryAvailable());
  }

  /** Returns whether the response does not wait for memory any more. */
  private boolean resumeIfMemoryAvailable() {
    if (awaitingMemory && !response.isTooLargeToBuffer() && response.countMemory()) {
      awaitingMemory = false;
      resume();
    }
    return !awaitingMemory || tryStream();
  }

  /**
   * Counts the memory of a response that is still incomplete. If too much is held, the response is
   * streamed where that is possible, or not read any further for now.
   */
  private void secureMemory() {
    if (attempt.hasResponseStarted()) {
      return;
    }
    boolean withinLimits = response.countMemory();
    if (!withinLimits && !awaitingMemory && !tryStream()) {
      awaitMemory();
    }
  }

  private void scheduleLateEnd() {
    streamedBytes = 0;
    double delayMs = attempt.deadlineMs() + MAX_LATE_MS - clock.now();
    if (!HttpUtil.isContentLengthSet(response.head()) && Double.isFinite(delayMs)) {
      lateEndTimer =
          channel.eventLoop().schedule(this::endIfLate, (long) delayMs, TimeUnit.MILLISECONDS);
    }
  }

  /** After a pause of this process, the kernel may hold more of the response. */
  private void endIfLate() {
    boolean small = streamedBytes <= ReceivedResponse.MAX_BUFFERED_BYTES;
    double receivedAgoMs = KernelSockets.msSinceLastReceive(channel);
    boolean unread = receivedAgoMs > 0 && !progressTimer.isStallOf(receivedAgoMs);
    if (small && !paused && !unread && progressTimer.isStalled()) {
      listener.responseMalformed();
    }
  }

  private void cancelLateEndTimer() {
    if (lateEndTimer != null) {
      lateEndTimer.cancel(false);
      lateEndTimer = null;
    }
  }

  private void stream(HttpContent content) {
    streamedBytes += content.content().readableBytes();
    boolean moreWanted = attempt.onResponseContent(content);
    if (!moreWanted && attempt != null && !(content instanceof LastHttpContent)) {
      pause();
    }
  }

  private void pause() {
    paused = true;
    channel.config().setAutoRead(false);
  }

  /** Resumes reading after a pause, unless memory is missing. */
  void resume() {
    if (paused && !awaitingMemory) {
      paused = false;
      if (attempt != null && attempt.hasResponseStarted()) {
        // The part that was buffered before the response was streamed has gone to the client.
        response.releaseBody();
      }
      progressTimer.recordProgress();
      channel.config().setAutoRead(true);
    }
  }

  /**
   * Records progress after a read that left the response incomplete, if any part of the response
   * has been received.
   *
   * @param hasUndecodedBytes whether received bytes have not been decoded yet
   */
  void watchProgress(boolean hasUndecodedBytes) {
    if (response.hasHead() || hasUndecodedBytes) {
      recordProgress();
      progressTimer.ensureScheduled();
    }
    if (response.hasHead()) {
      secureMemory();
    }
  }

  private void recordProgress() {
    if (beginReported) {
      progressTimer.recordProgress();
    } else {
      progressTimer.recordBegin();
    }
    if (!attempt.hasResponseStarted()) {
      reportProgress();
    }
  }

  private void reportProgress() {
    if (!beginReported || stallReported) {
      beginReported = true;
      stallReported = false;
      attempt.onResponseProgress(false);
    }
  }

  private void checkProgress() {
    if (attempt.hasResponseStarted()) {
      endStreamIfGone();
    } else if (!paused && progressTimer.isStalled()) {
      onStall();
    } else if (progressTimer.isArriving() && mayBeIntentionallySlow()) {
      startStreaming();
    }
    if (attempt != null) {
      progressTimer.ensureScheduled();
    }
  }

  private void endStreamIfGone() {
    if (!paused && progressTimer.isStreamGone()) {
      listener.responseMalformed();
    }
  }

  /**
   * Reports a stall, on which the policy decides. A body that has begun is not withheld for long; a
   * head alone is, because nothing but the end of the connection could follow it in time if the
   * body does not come.
   */
  private void onStall() {
    if (!stallReported) {
      stallReported = true;
      attempt.onResponseProgress(true);
    }
    if (attempt != null
        && progressTimer.isWithheldTooLong(attempt.deadlineMs())
        && hasBodyToStream()) {
      startStreaming();
    }
  }

  /**
   * Streams a response that is arriving at its attempt's deadline, so that its client gets the
   * first bytes in time. Returns whether it is streamed.
   */
  boolean streamIfArriving() {
    return attempt != null
        && !paused
        && progressTimer.isArrivingNow()
        && mayBeIntentionallySlow()
        && tryStream();
  }

  private boolean hasBodyToStream() {
    return mayBeIntentionallySlow() && response.body().isReadable();
  }

  /**
   * Returns whether the response may be sent slowly on purpose, so that the client awaits its first
   * bytes. That is possible only if the response does not announce its length.
   */
  private boolean mayBeIntentionallySlow() {
    return !attempt.hasResponseStarted()
        && response.hasHead()
        && !HttpUtil.isContentLengthSet(response.head())
        && isStreamable();
  }
}
