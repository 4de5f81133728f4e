package quotagateway.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The plan of one run: its size, its faults and its steps, all drawn from the seed.
 *
 * @param seed seed of the run
 * @param gateways number of gateways in the fleet
 * @param clients number of clients that send requests throughout the run
 * @param backends number of backends
 * @param backendFaultShare probability that a backend responds to an attempt other than by a plain
 *     response
 * @param lateCopies whether duplicate responses are sent a few milliseconds after the original
 *     rather than together with it
 * @param idleConnections number of idle connections opened to one gateway at the first step
 * @param steps steps in the order of their times
 */
record SoakPlan(
    long seed,
    int gateways,
    int clients,
    int backends,
    double backendFaultShare,
    boolean lateCopies,
    int idleConnections,
    List<Step> steps) {

  /** How long the clients send requests. */
  static final double DURATION_MS = 12_000;

  /** Least value of the time, drawn for each run, before which no step begins. */
  private static final double MIN_FIRST_STEP_MS = 700;

  private static final double MAX_FIRST_STEP_MS = 2_500;

  /** No step begins later, so that its effects fall within the run. */
  private static final double MAX_STEP_MS = 9_500;

  private static final int MAX_STEPS = 7;
  private static final double IDLE_CONNECTIONS_PROBABILITY = 0.2;
  private static final int IDLE_CONNECTIONS = 150;

  /** What a step does. */
  enum Action {
    /** The configuration file is changed, then the gateway gets SIGHUP. */
    RELOAD,
    /** SIGHUP is sent three times within a few milliseconds, once for a truncated file. */
    RELOAD_SERIES,
    /** SIGTERM, then SIGKILL as early as is allowed if needed, then a new process. */
    RESTART,
    /** SIGHUP and immediately SIGTERM, then as for {@link #RESTART}. */
    RELOAD_THEN_RESTART,
    /** SIGTERM twice, then as for {@link #RESTART}. */
    RESTART_WITH_SECOND_SIGTERM,
    /** SIGKILL, then a new process. */
    KILL,
    /** An operator drains the gateway and undrains it a second later. */
    DRAIN_THEN_UNDRAIN,
    /** A new process starts while the old one runs; the old one then gets SIGTERM. */
    UPGRADE,
    /** Discovery reports that a backend drains, or that it serves again. */
    DRAIN_BACKEND,
    /** Discovery removes a backend from its complete list and ends all watches. */
    REMOVE_BACKEND,
    /** Open watches go silent for good; new ones get no response for one to four seconds. */
    SILENCE_DISCOVERY,
    /** Discovery responds with errors that have a list as their body, for one to three seconds. */
    FAIL_DISCOVERY,
    /** The counter rejects calls, replies late, malformed or not at all, for one second. */
    DISTURB_COUNTER
  }

  /**
   * A step of the plan.
   *
   * @param atMs time since the clients started
   * @param target index of the gateway that the step acts on
   * @param choice random number from 0 to 1 that selects the backend, duration or variant of an
   *     action
   */
  record Step(double atMs, Action action, int target, double choice) {
    @Override
    public String toString() {
      return String.format("%6.0f ms %s target=%d choice=%.2f", atMs, action, target, choice);
    }
  }

  /** Draws the plan of a seed. */
  static SoakPlan draw(long seed, boolean lateCopies) {
    SplittableRandom random = new SplittableRandom(seed);
    int gateways = 2 + random.nextInt(2);
    double earliestStepMs = random.nextDouble(MIN_FIRST_STEP_MS, MAX_FIRST_STEP_MS);
    int stepCount = 3 + random.nextInt(MAX_STEPS - 2);
    Action[] actions = Action.values();
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < stepCount; i++) {
      steps.add(
          new Step(
              random.nextDouble(earliestStepMs, MAX_STEP_MS),
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
        random.nextDouble() < IDLE_CONNECTIONS_PROBABILITY ? IDLE_CONNECTIONS : 0,
        steps);
  }

  /**
   * Returns a random generator for one part of the run. Each part has its own, so that its draws
   * don't depend on the timing of the others.
   */
  SplittableRandom newGenerator(String part) {
    return new SplittableRandom(seed * 1_000_003 + part.hashCode());
  }
}
