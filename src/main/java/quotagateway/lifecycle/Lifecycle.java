package quotagateway.lifecycle;

import java.util.concurrent.atomic.AtomicReference;
import quotagateway.transport.MonotonicClock;

/**
 * Where a gateway process is between its start and its end. The main thread, the admin server and
 * the shutdown change it from threads of their own; all that depends on it reads it here, from any
 * thread.
 */
public final class Lifecycle {

  /** The states, by the names that operators read. */
  public enum State {
    /** It does not accept clients yet. */
    STARTING,
    /** It accepts clients and keeps their connections. */
    SERVING,
    /** An operator has the clients leave; it may serve again. */
    DRAINING,
    /** The process is shutting down; nothing leads back. */
    ENDING
  }

  /** A state and when it was entered, on the gateway's clock. */
  private record Phase(State state, double sinceMs) {}

  private final MonotonicClock clock;
  private final AtomicReference<Phase> phase;

  /** A process that is starting. */
  public Lifecycle(MonotonicClock clock) {
    this.clock = clock;
    phase = new AtomicReference<>(new Phase(State.STARTING, clock.now()));
  }

  /** The state now. */
  public State state() {
    return phase.get().state;
  }

  /** Whether it serves and is not draining. */
  public boolean isServing() {
    return state() == State.SERVING;
  }

  /** For how long it has been draining or ending, in milliseconds; 0 in the other states. */
  public double drainingMs() {
    Phase now = phase.get();
    boolean leaving = now.state == State.DRAINING || now.state == State.ENDING;
    return leaving ? clock.now() - now.sinceMs : 0;
  }

  /** Its start is over, unless it ends already. */
  public void startServing() {
    transition(State.STARTING, State.SERVING);
  }

  /** True when it is draining now, whether by this call or by an earlier one. */
  public boolean drain() {
    return transition(State.SERVING, State.DRAINING) || state() == State.DRAINING;
  }

  /** True when it is serving now. */
  public boolean undrain() {
    return transition(State.DRAINING, State.SERVING) || isServing();
  }

  /** The process is about to end: nothing leads back. */
  public void shutDown() {
    phase.set(new Phase(State.ENDING, clock.now()));
  }

  /** False where it is not in the first state, or another thread was faster. */
  private boolean transition(State from, State to) {
    Phase now = phase.get();
    return now.state == from && phase.compareAndSet(now, new Phase(to, clock.now()));
  }
}
