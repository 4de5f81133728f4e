package quotagateway.lifecycle;

import java.util.concurrent.atomic.AtomicReference;
import quotagateway.transport.MonotonicClock;

/**
 * The lifecycle state of a gateway process. The main thread, the admin server and the shutdown
 * change it from their own threads; everything that depends on the state reads it here, from any
 * thread.
 */
public final class Lifecycle {

  /** The states; operators see their names. */
  public enum State {
    /** The process does not accept clients yet. */
    STARTING,
    /** The process accepts clients and keeps their connections alive. */
    SERVING,
    /** An operator has started a drain, so that clients leave; the process may serve again. */
    DRAINING,
    /** The process is shutting down; no transition leaves this state. */
    ENDING
  }

  /** A state and the time at which it was entered, on the gateway's clock. */
  private record Phase(State state, double sinceMs) {}

  private final MonotonicClock clock;
  private final AtomicReference<Phase> phase;

  /** Creates the lifecycle of a process that is starting. */
  public Lifecycle(MonotonicClock clock) {
    this.clock = clock;
    phase = new AtomicReference<>(new Phase(State.STARTING, clock.now()));
  }

  /** Returns the current state. */
  public State state() {
    return phase.get().state;
  }

  /** Returns whether the process serves and is not draining. */
  public boolean isServing() {
    return state() == State.SERVING;
  }

  /**
   * Returns for how long the process has been draining or ending, in milliseconds; 0 in the other
   * states.
   */
  public double drainingMs() {
    Phase current = phase.get();
    boolean drainingOrEnding = current.state == State.DRAINING || current.state == State.ENDING;
    return drainingOrEnding ? clock.now() - current.sinceMs : 0;
  }

  /** Marks the start as complete, unless the process is already ending. */
  public void startServing() {
    transition(State.STARTING, State.SERVING);
  }

  /**
   * Starts to drain if the process is serving. Returns whether it is draining now, by this call or
   * an earlier one.
   */
  public boolean drain() {
    return transition(State.SERVING, State.DRAINING) || state() == State.DRAINING;
  }

  /** Ends the drain if there is one. Returns whether the process is serving now. */
  public boolean undrain() {
    return transition(State.DRAINING, State.SERVING) || isServing();
  }

  /** Enters the final state, because the process is about to end. */
  public void shutDown() {
    phase.set(new Phase(State.ENDING, clock.now()));
  }

  /**
   * Enters the state {@code to} and returns true. Changes nothing and returns false if the current
   * state is not {@code from}, or another thread changed it first.
   */
  private boolean transition(State from, State to) {
    Phase current = phase.get();
    return current.state == from && phase.compareAndSet(current, new Phase(to, clock.now()));
  }
}
