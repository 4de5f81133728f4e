package quotagateway.backend;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import quotagateway.transport.MonotonicClock;

/**
 * Watches a response that has begun for progress. Its owner looks at each check whether to give it
 * up. On the event loop's thread; times are in milliseconds.
 */
final class StalledResponseTimer {

  /**
   * A response that has begun and of which nothing came for so long is given up while another
   * attempt can replace it.
   */
  private static final long MAX_REPLACEABLE_STALL_MS = 250;

  /**
   * One that its client has a part of cannot be replaced: it is waited for as long as anything may
   * still come.
   */
  private static final double MAX_STREAM_STALL_MS = 10_000;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Runnable check;
  private Future<?> scheduled;
  private double progressAtMs;

  /**
   * @param check called after each interval, until {@link #cancel}
   */
  StalledResponseTimer(EventLoop loop, MonotonicClock clock, Runnable check) {
    this.loop = loop;
    this.clock = clock;
    this.check = check;
  }

  /** Part of the response has come, or its client takes more of it again. */
  void recordProgress() {
    progressAtMs = clock.now();
  }

  /** Checks from now on, if it does not yet. */
  void ensureScheduled() {
    if (scheduled == null) {
      schedule();
    }
  }

  private void schedule() {
    scheduled = loop.schedule(this::fire, MAX_REPLACEABLE_STALL_MS, TimeUnit.MILLISECONDS);
  }

  private void fire() {
    scheduled = null;
    check.run();
  }

  /** Whether nothing has come for too long. */
  boolean isStalled(boolean streaming) {
    double maxMs = streaming ? MAX_STREAM_STALL_MS : MAX_REPLACEABLE_STALL_MS;
    return clock.now() - progressAtMs >= maxMs;
  }

  void cancel() {
    if (scheduled != null) {
      scheduled.cancel(false);
      scheduled = null;
    }
  }
}
