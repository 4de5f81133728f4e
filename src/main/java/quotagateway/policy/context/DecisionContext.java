package quotagateway.policy.context;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import quotagateway.policy.action.Action;
import quotagateway.policy.settings.PolicySettings;

/**
 * The time, settings and random numbers that decisions use, and the list that collects the actions
 * of the current event. Each gateway has one instance, confined to the thread that calls {@link
 * quotagateway.policy.GatewayPolicy}. Components keep a reference to the context, but never to the
 * values that it returns.
 *
 * <p>The context is the only source of time and randomness, so the same events with the same seed
 * produce the same actions.
 */
public final class DecisionContext {

  private final SplittableRandom random;
  private PolicySettings settings;
  private double startedAtMs;
  private int processes = 1;
  private double processesChangedAtMs;
  private double nowMs;
  private List<Action> actions = new ArrayList<>();

  /**
   * Creates a context for a policy that has not started.
   *
   * @param settings the initial settings
   * @param seed the seed of the random number generator
   */
  public DecisionContext(PolicySettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
  }

  /** Records the time at which the policy starts. Called once, before any event. */
  public void start(double timeMs) {
    startedAtMs = timeMs;
    processesChangedAtMs = timeMs;
    begin(timeMs);
  }

  /** Begins an event: sets the current time and starts an empty list of actions. */
  public void begin(double timeMs) {
    nowMs = timeMs;
    actions = new ArrayList<>();
  }

  /** Returns the time of the current event, in Unix milliseconds of a monotonic clock. */
  public double nowMs() {
    return nowMs;
  }

  /** Returns the time at which the policy started. */
  public double startedAtMs() {
    return startedAtMs;
  }

  /** Returns the number of processes of this gateway, this one included. */
  public int processes() {
    return processes;
  }

  /** Returns the time at which the number of processes last changed, at first the start. */
  public double processesChangedAtMs() {
    return processesChangedAtMs;
  }

  /** Changes the number of processes of this gateway. */
  public void changeProcesses(int newProcesses) {
    processes = newProcesses;
    processesChangedAtMs = nowMs;
  }

  /** Returns the settings in force. */
  public PolicySettings settings() {
    return settings;
  }

  /** Puts new settings into force. */
  public void replaceSettings(PolicySettings newSettings) {
    settings = newSettings;
  }

  /** Returns the next random number between 0 (inclusive) and 1 (exclusive). */
  public double nextRandom() {
    return random.nextDouble();
  }

  /** Returns the next random integer between 0 (inclusive) and the bound (exclusive). */
  public int nextRandom(int bound) {
    return random.nextInt(bound);
  }

  /** Appends an action to the actions of the current event. */
  public void emit(Action action) {
    actions.add(action);
  }

  /** Returns the actions of the current event, in the order of their emission. */
  public List<Action> actions() {
    return actions;
  }
}
