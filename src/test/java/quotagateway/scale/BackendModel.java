package quotagateway.scale;

import java.util.SplittableRandom;
import quotagateway.policy.event.Status;

/** A stand-in for one backend: one core, a queue of bounded length, exponential service times. */
final class BackendModel {

  /** DIED: its process is gone and connections are refused. VANISHED: nothing is said any more. */
  enum Health {
    UP,
    DIED,
    VANISHED
  }

  /** How an attempt ends, and when, counted from its start. */
  record Ending(Status status, double afterMs) {}

  private static final double DIAL_LIMIT_MS = 250;
  private static final double ROUND_TRIP_MS = 0.6;
  private static final double MAX_QUEUED_MS = 1_000;

  /** Capacity at the start, as a part of that of a warm one, and the time until it is warm. */
  private static final double COLD_FROM = 0.25;

  private static final double COLD_MS = 10_000;

  private final double serviceMs;
  private final SplittableRandom random;
  private final double startedMs;
  private Health health = Health.UP;
  private double freeAtMs;
  private double diesAtMs = Double.POSITIVE_INFINITY;

  /** One that started at that time, 0 for long ago. */
  BackendModel(double serviceMs, double startedMs, SplittableRandom random) {
    this.serviceMs = serviceMs;
    this.startedMs = startedMs;
    this.random = random;
  }

  void fail(Health how, double nowMs) {
    health = how;
    diesAtMs = nowMs;
  }

  /** Comes back as it was, from a cut. */
  void heal() {
    health = Health.UP;
    diesAtMs = Double.POSITIVE_INFINITY;
  }

  boolean up() {
    return health == Health.UP;
  }

  /** Takes an attempt that lasts no longer than its limit. */
  Ending attempt(double nowMs, double limitMs) {
    if (health != Health.UP) {
      double after = health == Health.DIED ? ROUND_TRIP_MS : DIAL_LIMIT_MS;
      return new Ending(Status.CONNECT_FAILED, Math.min(after, limitMs));
    }
    double queuedMs = Math.max(0, freeAtMs - nowMs);
    if (queuedMs > MAX_QUEUED_MS) {
      return new Ending(Status.REJECTED, ROUND_TRIP_MS);
    }
    double warm =
        startedMs <= 0
            ? 1
            : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (nowMs - startedMs) / COLD_MS);
    double work = -Math.log(1 - random.nextDouble()) * serviceMs / warm;
    freeAtMs = nowMs + queuedMs + work;
    double after = queuedMs + work + ROUND_TRIP_MS;
    return after > limitMs ? new Ending(Status.TIMED_OUT, limitMs) : new Ending(Status.OK, after);
  }

  /**
   * What an ending comes to when its moment has come: nothing answers out of a backend that went.
   */
  Ending revised(Ending planned, double begunMs) {
    boolean diedMeanwhile = diesAtMs >= begunMs && diesAtMs < begunMs + planned.afterMs();
    if (planned.status() != Status.OK || !diedMeanwhile) {
      return planned;
    }
    return new Ending(health == Health.DIED ? Status.RESET : Status.TIMED_OUT, planned.afterMs());
  }
}
