package quotagateway.counter;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import quotagateway.transport.MonotonicClock;

/**
 * Ends calls that took longer than their timeout. All have the same one, so they time out in the
 * order of their starts, and a single timer serves them all. Not thread-safe: belongs to its event
 * loop.
 */
final class CounterCallTimeouts {

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final double timeoutMs;
  private final Consumer<CounterCall> onTimeout;

  /** Calls in the order of their starts, some of which have ended meanwhile. */
  private final ArrayDeque<CounterCall> calls = new ArrayDeque<>();

  private boolean scheduled;

  /**
   * Creates it without calls.
   *
   * @param timeoutMs from the start of a call, in milliseconds
   * @param onTimeout gets each call that timed out, and may get calls that had ended before
   */
  CounterCallTimeouts(
      EventLoop loop, MonotonicClock clock, double timeoutMs, Consumer<CounterCall> onTimeout) {
    this.loop = loop;
    this.clock = clock;
    this.timeoutMs = timeoutMs;
    this.onTimeout = onTimeout;
  }

  /** Watches one more call, which started after all others. */
  void add(CounterCall call) {
    calls.add(call);
    schedule();
  }

  private void schedule() {
    if (scheduled || calls.isEmpty()) {
      return;
    }
    scheduled = true;
    double remainingMs = calls.peekFirst().startedAtMs() + timeoutMs - clock.now();
    long delayMicros = (long) Math.ceil(Math.max(0, remainingMs) * 1000);
    loop.schedule(this::endOverdue, delayMicros, TimeUnit.MICROSECONDS);
  }

  private void endOverdue() {
    scheduled = false;
    double now = clock.now();
    while (!calls.isEmpty() && isOver(calls.peekFirst(), now)) {
      onTimeout.accept(calls.pollFirst());
    }
    schedule();
  }

  private boolean isOver(CounterCall call, double now) {
    return call.isEnded() || call.startedAtMs() + timeoutMs <= now;
  }
}
