package quotagateway.lifecycle;

import java.util.concurrent.atomic.AtomicReference;
import quotagateway.transport.MonotonicClock;

/**
 * Where a front door is between its start and its end. The admin server and the end of the process
 * move it from threads of their own; all that depends on it reads it here.
 */
public final class Lifecycle {

  enum State {
    STARTING,
    SERVING,
    DRAINING,
    ENDING
  }

  /** A state and when it was entered. */
  private record Phase(State state, double sinceMs) {}

  private final MonotonicClock clock;
  private final AtomicReference<Phase> phase;

  public Lifecycle(MonotonicClock clock) {
    this.clock = clock;
    phase = new AtomicReference<>(new Phase(State.STARTING, clock.now()));
  }

  public State state() {
    return phase.get().state;
  }

  public boolean serving() {
    return state() == State.SERVING;
  }

  /** For how long it has been draining or ending, or 0. */
  public double drainingMs() {
    Phase p = phase.get();
    return p.state == State.DRAINING || p.state == State.ENDING ? clock.now() - p.sinceMs : 0;
  }

  public void started() {
    move(State.STARTING, State.SERVING);
  }

  /** True when it is draining now, whether by this call or by an earlier one. */
  public boolean drain() {
    return move(State.SERVING, State.DRAINING) || state() == State.DRAINING;
  }

  /** True when it is serving now. */
  public boolean undrain() {
    return move(State.DRAINING, State.SERVING) || serving();
  }

  /** The process is about to end: nothing leads back. */
  public void end() {
    phase.set(new Phase(State.ENDING, clock.now()));
  }

  private boolean move(State from, State to) {
    Phase now = phase.get();
    return now.state == from && phase.compareAndSet(now, new Phase(to, clock.now()));
  }
}
