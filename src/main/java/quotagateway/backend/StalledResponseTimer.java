package quotagateway.backend;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import quotagateway.transport.MonotonicClock;

/**
 * Periodically triggers a check of a response that has started, and tells whether the response has
 * stalled. The owner decides at each check whether to abandon the response. Confined to the event
 * loop's thread. Times are in milliseconds.
 */
final class StalledResponseTimer {

  /**
   * Maximum time without progress of a buffered response, which another attempt can still replace.
   * Also the interval between checks.
   */
  private static final long MAX_BUFFERED_STALL_MS = 250;

  /**
   * Maximum time without progress of a streamed response. It is longer than backends hang, because
   * the client already has part of the response, so that no other attempt can replace it.
   */
  private static final double MAX_STREAMED_STALL_MS = 30_000;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Runnable check;
  private Future<?> scheduled;
  private double progressAtMs;

  /**
   * Creates a timer that is not running.
   *
   * @param check called one interval after it was scheduled, unless cancelled; {@link
   *     #ensureScheduled} has to schedule each further check
   */
  StalledResponseTimer(EventLoop loop, MonotonicClock clock, Runnable check) {
    this.loop = loop;
    this.clock = clock;
    this.check = check;
  }

  /** Records that data has been received, or that reading has resumed after back pressure. */
  void recordProgress() {
    progressAtMs = clock.now();
  }

  /** Schedules the next check, unless one is already scheduled. */
  void ensureScheduled() {
    if (scheduled == null) {
      schedule();
    }
  }

  private void schedule() {
    scheduled = loop.schedule(this::fire, MAX_BUFFERED_STALL_MS, TimeUnit.MILLISECONDS);
  }

  private void fire() {
    scheduled = null;
    check.run();
  }

  /** Returns whether the response has made no progress for the maximum time. */
  boolean isStalled(boolean streaming) {
    double maxStallMs = streaming ? MAX_STREAMED_STALL_MS : MAX_BUFFERED_STALL_MS;
    return clock.now() - progressAtMs >= maxStallMs;
  }

  void cancel() {
    if (scheduled != null) {
      scheduled.cancel(false);
      scheduled = null;
    }
  }
}
