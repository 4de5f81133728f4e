package quotagateway.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import quotagateway.transport.MonotonicClock;

/** Tests the timeouts of counter calls with a manually advanced clock. */
class CounterCallTimeoutsTest {

  private final EmbeddedChannel timers = new EmbeddedChannel();
  private final List<String> timedOut = new ArrayList<>();
  private long nanos;
  private final MonotonicClock clock = new MonotonicClock(() -> nanos);
  private final CounterCallTimeouts timeouts =
      new CounterCallTimeouts(timers.eventLoop(), clock, 50, this::onTimeout);

  private void onTimeout(CounterCall call) {
    if (call.tryComplete()) {
      timedOut.add(call.counterName());
    }
  }

  private CounterCall startCall(String name) {
    CounterCall call = CounterCall.increment(name, clock.now(), null);
    timeouts.add(call);
    return call;
  }

  private void advance(long ms) {
    nanos += TimeUnit.MILLISECONDS.toNanos(ms);
    timers.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    timers.runScheduledPendingTasks();
  }

  @Test
  void timesOutEachCallAfterItsOwnTimeout() {
    startCall("a");
    advance(30);
    startCall("b");
    advance(19);
    assertEquals(List.of(), timedOut);
    advance(2);
    assertEquals(List.of("a"), timedOut);
    advance(28);
    assertEquals(List.of("a"), timedOut);
    advance(2);
    assertEquals(List.of("a", "b"), timedOut);
  }

  /**
   * Nearly all calls complete long before their timeout. They must neither time out nor delay the
   * timeouts of the calls after them.
   */
  @Test
  void skipsCallsThatCompletedBeforeTheirTimeout() {
    CounterCall completedCall = startCall("a");
    advance(10);
    startCall("b");
    completedCall.tryComplete();
    advance(41);
    assertEquals(List.of(), timedOut);
    advance(10);
    assertEquals(List.of("b"), timedOut);
  }
}
