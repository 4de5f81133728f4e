package quotagateway.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * All that happens in one run, drawn from its seed alone.
 *
 * @param seed of the run
 * @param gateways processes of the fleet
 * @param clients that ask all the time
 * @param backends that serve them
 * @param backendFaultShare of the attempts that a backend does not just answer
 * @param lateCopies whether second copies of responses come some milliseconds behind the first
 * @param crowd idle connections that clients hold at a gateway from a step on
 * @param steps in the order of their times
 */
record SoakPlan(
    long seed,
    int gateways,
    int clients,
    int backends,
    double backendFaultShare,
    boolean lateCopies,
    int crowd,
    List<Step> steps) {

  /** For how long the clients ask, in milliseconds. */
  static final double DURATION_MS = 12_000;

  /** Trouble begins after this, and later in some runs. */
  private static final double MIN_QUIET_MS = 700;

  private static final double MAX_QUIET_MS = 2_500;

  /** No trouble begins later, so that what it does is seen. */
  private static final double LAST_STEP_MS = 9_500;

  private static final int MAX_STEPS = 7;
  private static final double CROWD_SHARE_OF_RUNS = 0.2;
  private static final int CROWD_CONNECTIONS = 150;

  /** What happens at one moment. */
  enum Action {
    /** The file is changed, then SIGHUP. */
    RELOAD,
    /** Three times SIGHUP within some milliseconds, one of them upon a broken file. */
    RELOAD_SERIES,
    /** SIGTERM, SIGKILL at the earliest moment, a new process. */
    RESTART,
    /** SIGHUP and at once SIGTERM; then as a restart. */
    RELOAD_THEN_RESTART,
    /** SIGTERM twice; then as a restart. */
    RESTART_WITH_SECOND_SIGTERM,
    /** SIGKILL and a new process. */
    KILL,
    /** An operator drains, and takes it back a second later. */
    DRAIN_THEN_UNDRAIN,
    /** A new process beside the old one, which then gets SIGTERM. */
    UPGRADE,
    /** Discovery says that a backend drains, or that it serves again. */
    DRAIN_BACKEND,
    /** Discovery's whole list leaves a backend out, and its watches end. */
    REMOVE_BACKEND,
    /** All watches fall silent, and discovery with them, for one to four seconds. */
    SILENCE_DISCOVERY,
    /** Discovery answers errors with a list as their body, for one to three seconds. */
    FAIL_DISCOVERY,
    /** The counter rejects, is late, brings malformed replies, or none, for a second. */
    DISTURB_COUNTER
  }

  /**
   * One thing that happens.
   *
   * @param atMs since the clients began
   * @param target number of the gateway or backend, counting round
   * @param choice of the variant, where the action has variants
   */
  record Step(double atMs, Action action, int target, double choice) {
    @Override
    public String toString() {
      return String.format("%6.0f ms %s target=%d choice=%.2f", atMs, action, target, choice);
    }
  }

  /** Draws the run of a seed. */
  static SoakPlan draw(long seed, boolean lateCopies) {
    SplittableRandom random = new SplittableRandom(seed);
    int gateways = 2 + random.nextInt(2);
    double from = random.nextDouble(MIN_QUIET_MS, MAX_QUIET_MS);
    int count = 3 + random.nextInt(MAX_STEPS - 2);
    Action[] actions = Action.values();
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      steps.add(
          new Step(
              random.nextDouble(from, LAST_STEP_MS),
              actions[random.nextInt(actions.length)],
              random.nextInt(gateways),
              random.nextDouble()));
    }
    steps.sort(Comparator.comparingDouble(Step::atMs));
    return new SoakPlan(
        seed,
        gateways,
        12 + random.nextInt(13),
        3 + random.nextInt(3),
        random.nextDouble() < 0.2 ? 0 : random.nextDouble(0.25),
        lateCopies,
        random.nextDouble() < CROWD_SHARE_OF_RUNS ? CROWD_CONNECTIONS : 0,
        steps);
  }

  /** A generator of its own for each part of the run, so that none depends on another's timing. */
  SplittableRandom generator(String part) {
    return new SplittableRandom(seed * 1_000_003 + part.hashCode());
  }
}
