package quotagateway.scale;

import java.util.SplittableRandom;
import quotagateway.policy.event.Status;

/** A model of one backend: one core, a bounded queue and exponential service times. */
final class BackendModel {

  /**
   * State of the backend. CRASHED: the process has ended and connections are refused. UNRESPONSIVE:
   * connection attempts time out and no response arrives.
   */
  enum Health {
    UP,
    CRASHED,
    UNRESPONSIVE
  }

  /** The result of an attempt and the time from its start to its end. */
  record Outcome(Status status, double afterMs) {}

  private static final double CONNECT_TIMEOUT_MS = 250;
  private static final double ROUND_TRIP_MS = 0.6;
  private static final double MAX_QUEUED_MS = 1_000;

  /** Capacity right after the start, as a fraction of the capacity when warm. */
  private static final double COLD_CAPACITY = 0.25;

  private static final double WARM_UP_MS = 10_000;

  private final double serviceMs;
  private final SplittableRandom random;
  private final double startedMs;
  private Health health = Health.UP;
  private double freeAtMs;
  private double failedAtMs = Double.POSITIVE_INFINITY;

  /**
   * Creates a backend.
   *
   * @param serviceMs mean service time when warm
   * @param startedMs start time, or 0 for a backend that is already warm
   * @param random source of the service times
   */
  BackendModel(double serviceMs, double startedMs, SplittableRandom random) {
    this.serviceMs = serviceMs;
    this.startedMs = startedMs;
    this.random = random;
  }

  void fail(Health newHealth, double nowMs) {
    health = newHealth;
    failedAtMs = nowMs;
  }

  /** Makes the backend reachable again, with its queue unchanged. */
  void recover() {
    health = Health.UP;
    failedAtMs = Double.POSITIVE_INFINITY;
  }

  boolean up() {
    return health == Health.UP;
  }

  /** Starts an attempt that ends within its timeout, and returns its planned outcome. */
  Outcome attempt(double nowMs, double timeoutMs) {
    if (health != Health.UP) {
      double latencyMs = health == Health.CRASHED ? ROUND_TRIP_MS : CONNECT_TIMEOUT_MS;
      return new Outcome(Status.CONNECT_FAILED, Math.min(latencyMs, timeoutMs));
    }
    double queuedMs = Math.max(0, freeAtMs - nowMs);
    if (queuedMs > MAX_QUEUED_MS) {
      return new Outcome(Status.REJECTED, ROUND_TRIP_MS);
    }
    double capacity =
        startedMs <= 0
            ? 1
            : Math.min(1, COLD_CAPACITY + (1 - COLD_CAPACITY) * (nowMs - startedMs) / WARM_UP_MS);
    double serviceTimeMs = -Math.log(1 - random.nextDouble()) * serviceMs / capacity;
    freeAtMs = nowMs + queuedMs + serviceTimeMs;
    double latencyMs = queuedMs + serviceTimeMs + ROUND_TRIP_MS;
    return latencyMs > timeoutMs
        ? new Outcome(Status.TIMED_OUT, timeoutMs)
        : new Outcome(Status.OK, latencyMs);
  }

  /**
   * Returns the outcome of an attempt at its planned end: a planned success becomes a failure if
   * the backend failed in between.
   */
  Outcome actualOutcome(Outcome planned, double startMs) {
    boolean failedMeanwhile = failedAtMs >= startMs && failedAtMs < startMs + planned.afterMs();
    if (planned.status() != Status.OK || !failedMeanwhile) {
      return planned;
    }
    return new Outcome(
        health == Health.CRASHED ? Status.RESET : Status.TIMED_OUT, planned.afterMs());
  }
}
