package quotagateway.counter;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import quotagateway.transport.MonotonicClock;

/**
 * Times out calls that exceed the call timeout. All calls have the same timeout, so they expire in
 * the order of their starts and a single timer is enough. Not thread-safe: belongs to its event
 * loop.
 */
final class CounterCallTimeouts {

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final double timeoutMs;
  private final Consumer<CounterCall> onTimeout;

  /** Calls in the order of their starts; some of them may have completed already. */
  private final ArrayDeque<CounterCall> calls = new ArrayDeque<>();

  private boolean timerScheduled;

  /**
   * Creates an instance without calls.
   *
   * @param timeoutMs time from the start of a call until it times out, in milliseconds
   * @param onTimeout receives each call that timed out, and possibly calls that completed earlier
   */
  CounterCallTimeouts(
      EventLoop loop, MonotonicClock clock, double timeoutMs, Consumer<CounterCall> onTimeout) {
    this.loop = loop;
    this.clock = clock;
    this.timeoutMs = timeoutMs;
    this.onTimeout = onTimeout;
  }

  /** Adds a call, which must have started after all calls added before. */
  void add(CounterCall call) {
    calls.add(call);
    scheduleTimer();
  }

  private void scheduleTimer() {
    if (timerScheduled || calls.isEmpty()) {
      return;
    }
    timerScheduled = true;
    double remainingMs = calls.peekFirst().startedAtMs() + timeoutMs - clock.now();
    long delayMicros = (long) Math.ceil(Math.max(0, remainingMs) * 1000);
    loop.schedule(this::expireCalls, delayMicros, TimeUnit.MICROSECONDS);
  }

  private void expireCalls() {
    timerScheduled = false;
    double now = clock.now();
    while (!calls.isEmpty() && isExpiredOrCompleted(calls.peekFirst(), now)) {
      onTimeout.accept(calls.pollFirst());
    }
    scheduleTimer();
  }

  private boolean isExpiredOrCompleted(CounterCall call, double now) {
    return call.isCompleted() || call.startedAtMs() + timeoutMs <= now;
  }
}
