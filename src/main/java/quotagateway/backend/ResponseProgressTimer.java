package quotagateway.backend;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import quotagateway.transport.MonotonicClock;

/**
 * Periodically triggers a check of a response that has begun, and tells for how long nothing of it
 * has arrived. Confined to the event loop's thread. Times are in milliseconds.
 */
final class ResponseProgressTimer {

  /** Longest time between checks. A response of which nothing arrives for as long has stalled. */
  private static final long CHECK_INTERVAL_MS = 250;

  /** Age up to which a part is new, so that the next one may be expected. */
  private static final double FRESH_MS = CHECK_INTERVAL_MS / 2.0;

  /** Time for which a client may be kept waiting for a part that has arrived. */
  private static final double MAX_WITHHELD_MS = 2_000;

  /** Time without progress after which such a part is passed on, checks and pauses included. */
  private static final double WITHHELD_STALL_MS = 1_500;

  /**
   * Maximum time without progress of a streamed response. It is longer than backends hang, because
   * the client already has part of the response, so that no other attempt can replace it.
   */
  private static final double MAX_STREAMED_STALL_MS = 30_000;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Runnable check;
  private Future<?> scheduled;

  /** When the first and the latest part of the response arrived. */
  private double begunAtMs;

  private double progressAtMs;

  /**
   * Creates a timer that is not running.
   *
   * @param check called at most one interval after it was scheduled, unless cancelled; {@link
   *     #ensureScheduled} has to schedule each further check
   */
  ResponseProgressTimer(EventLoop loop, MonotonicClock clock, Runnable check) {
    this.loop = loop;
    this.clock = clock;
    this.check = check;
  }

  /** Records that the first part of a response has arrived. */
  void recordBegin() {
    begunAtMs = clock.now();
    progressAtMs = begunAtMs;
  }

  /** Records that data has been received, or that reading has resumed after back pressure. */
  void recordProgress() {
    progressAtMs = clock.now();
  }

  /** Schedules the next check for when a stall would be noticed, unless one is scheduled. */
  void ensureScheduled() {
    if (scheduled == null) {
      long delayMs = isStalled() ? CHECK_INTERVAL_MS : (long) Math.ceil(untilStallMs());
      scheduled = loop.schedule(this::fire, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private double untilStallMs() {
    return CHECK_INTERVAL_MS - silenceMs();
  }

  private void fire() {
    scheduled = null;
    check.run();
  }

  /** Returns whether nothing of the response has arrived for one interval. */
  boolean isStalled() {
    return isStallOf(silenceMs());
  }

  /** Returns whether a response of which nothing has arrived for this time has stalled. */
  boolean isStallOf(double silentMs) {
    return silentMs >= CHECK_INTERVAL_MS;
  }

  /**
   * Returns whether the response arrives in pieces over some time. One whose first pieces came
   * together may have stalled behind them.
   */
  boolean isArriving() {
    return !isStalled() && progressAtMs - begunAtMs >= FRESH_MS;
  }

  /** Returns whether the response arrives over some time, or a part has arrived just now. */
  boolean isArrivingNow() {
    return isArriving() || silenceMs() < FRESH_MS;
  }

  /**
   * Returns whether the part that has arrived has been withheld for long enough, and would be for
   * too long at the deadline.
   */
  boolean isWithheldTooLong(double deadlineMs) {
    return silenceMs() >= WITHHELD_STALL_MS && deadlineMs - progressAtMs > MAX_WITHHELD_MS;
  }

  /** Returns whether a streamed response has made no progress for too long to be awaited. */
  boolean isStreamGone() {
    return silenceMs() >= MAX_STREAMED_STALL_MS;
  }

  private double silenceMs() {
    return clock.now() - progressAtMs;
  }

  void cancel() {
    if (scheduled != null) {
      scheduled.cancel(false);
      scheduled = null;
    }
  }
}
