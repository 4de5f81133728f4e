package quotagateway.policy.context;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import quotagateway.policy.action.Action;
import quotagateway.policy.settings.PolicySettings;

/**
 * What every rule may read while one event is decided, and the list that its actions go to. One
 * instance for each gateway, owned by the thread that calls {@link
 * quotagateway.policy.GatewayPolicy}; rules keep a reference to it, never to what it returns.
 *
 * <p>Time and chance come from here alone, so that the same events with the same seed lead to the
 * same actions.
 */
public final class DecisionContext {

  private final SplittableRandom random;
  private PolicySettings settings;
  private double startedAtMs;
  private double nowMs;
  private List<Action> actions = new ArrayList<>();

  /**
   * A context before the first event.
   *
   * @param settings in force at the start
   * @param seed of all random draws
   */
  public DecisionContext(PolicySettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
  }

  /** Notes the time at which the policy starts; called once, before any event. */
  public void start(double atMs) {
    startedAtMs = atMs;
    begin(atMs);
  }

  /** Begins an event: from here on its time holds, and its actions are collected anew. */
  public void begin(double atMs) {
    nowMs = atMs;
    actions = new ArrayList<>();
  }

  /** The time of the present event, in Unix milliseconds of a clock that never goes back. */
  public double nowMs() {
    return nowMs;
  }

  /** When the policy started. */
  public double startedAtMs() {
    return startedAtMs;
  }

  /** The settings in force. */
  public PolicySettings settings() {
    return settings;
  }

  /** Puts other settings in force. */
  public void replaceSettings(PolicySettings changed) {
    settings = changed;
  }

  /** The next random number from 0 (inclusive) to 1 (exclusive). */
  public double nextRandom() {
    return random.nextDouble();
  }

  /** The next random number from 0 (inclusive) to the bound (exclusive). */
  public int nextRandom(int bound) {
    return random.nextInt(bound);
  }

  /** Adds an action behind those of this event. */
  public void emit(Action action) {
    actions.add(action);
  }

  /** The actions of the present event, in their order. */
  public List<Action> actions() {
    return actions;
  }
}
