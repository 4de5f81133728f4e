package quotagateway.discovery;

import java.util.function.DoubleSupplier;

/**
 * How long to wait before the next watch of the list. A watch that ended is opened again soon, as
 * what its agent has counts as told; while list after list cannot be taken, the waits grow, as
 * every front door asks for the same one again. All waits are spread by chance.
 */
final class WatchBackoff {

  private static final double LEAST_MS = 100;

  /**
   * What the agent has counts as told without a watch: well within the second that a drain leaves.
   */
  private static final double MOST_MS = 200;

  /**
   * For lists that cannot be taken. Spread by chance it is 3 s at most: the next list may be good,
   * and what it tells counts as told 6 s after discovery had it, whatever became of calls
   * meanwhile.
   */
  private static final double MOST_UNTAKEN_MS = 2_000;

  /** So many in a row are taken for bytes spoilt on the way. */
  private static final int SPOILT = 3;

  /** A watch that lasted so long was a good one; junk on each new one must not make a busy loop. */
  private static final double GOOD_MS = 5_000;

  private final DoubleSupplier random;
  private double nextMs = LEAST_MS;
  private int untaken;

  /** With a source of numbers from 0 to 1. */
  WatchBackoff(DoubleSupplier random) {
    this.random = random;
  }

  /** Another address is watched from now on. */
  void reset() {
    nextMs = LEAST_MS;
    untaken = 0;
  }

  /** A list was taken; true where others before it could not be. */
  boolean taken() {
    boolean after = untaken > 0;
    if (after) {
      reset();
    }
    return after;
  }

  /** A list could not be taken; true for the first in a row. */
  boolean notTaken() {
    untaken++;
    return untaken == 1;
  }

  /** The time to wait after a watch that lasted so long. */
  double waitMs(double lastedMs) {
    if (lastedMs > GOOD_MS && untaken == 0) {
      nextMs = LEAST_MS;
    }
    double wait = nextMs * (0.5 + random.getAsDouble());
    nextMs = Math.min(untaken < SPOILT ? MOST_MS : MOST_UNTAKEN_MS, 2 * nextMs);
    return wait;
  }
}
