package quotagateway.policy.quota;

import quotagateway.policy.settings.Plan;

/**
 * The time windows in which a customer's units are counted, and the names of the customer's counts.
 * The windows of different customers begin at different times, so that they do not all end at once.
 *
 * <p>A window spans many refills of the bucket if possible. If it would span fewer than two, the
 * windows are fixed: each allows one burst, and no bucket is replicated.
 */
final class CounterWindows {

  /**
   * Maximum length of a window. It spans many refills of usual quotas, so that windows change
   * rarely.
   */
  private static final double MAX_LENGTH_MS = 25_000;

  /**
   * Number of gateways up to which each gateway sees a customer often enough to replicate its
   * bucket over the longest window. With more gateways, windows are shorter.
   */
  private static final double MAX_GATEWAYS_WITH_MAX_LENGTH = 3;

  /** Minimum number of bucket refills per window. A window that spans fewer is a fixed window. */
  private static final double MIN_REFILLS_PER_WINDOW = 2;

  /**
   * Multiplier that spreads customer numbers evenly: 2 to the power of 64, divided by the golden
   * ratio.
   */
  private static final long SPREADING_MULTIPLIER = 0x9E3779B97F4A7C15L;

  /**
   * Radix of the customer's number in counter names: the largest radix that {@link
   * Long#toString(long, int)} supports, which gives the shortest names.
   */
  private static final int NAME_RADIX = 36;

  private final long customer;
  private final double offsetMs;
  private double lengthMs = MAX_LENGTH_MS;
  private boolean fixed;

  CounterWindows(long customer) {
    this.customer = customer;
    this.offsetMs = Math.floorMod(customer * SPREADING_MULTIPLIER, (long) MAX_LENGTH_MS);
  }

  /**
   * Sets the window length for a plan. A plan with a hard limit uses the longest window for any
   * number of gateways.
   *
   * @param plan the customer's plan
   * @param gateways number of gateways through which the customer's requests may arrive
   * @param sharedCounter whether there is a shared counter; without one, windows are never fixed
   */
  void applyPlan(Plan plan, int gateways, boolean sharedCounter) {
    double refillMs = 0;
    if (plan.unitsPerSecond() > 0) {
      refillMs = 1000 * plan.burstUnits() / plan.unitsPerSecond();
    }
    double maxLengthMs = MAX_LENGTH_MS;
    if (plan.hardLimitUnitsPerSecond() <= 0) {
      maxLengthMs = MAX_LENGTH_MS * MAX_GATEWAYS_WITH_MAX_LENGTH / gateways;
    }
    lengthMs = Math.max(refillMs, Math.min(MAX_LENGTH_MS, maxLengthMs));
    fixed = lengthMs < MIN_REFILLS_PER_WINDOW * refillMs && sharedCounter;
  }

  /** Returns whether each window allows one burst, and no bucket is replicated. */
  boolean areFixed() {
    return fixed;
  }

  /** Returns the number of the window that contains the given time. */
  long windowAt(double nowMs) {
    return (long) Math.floor((nowMs + offsetMs) / lengthMs);
  }

  /** Returns the start time of a window. */
  double startMs(long window) {
    return window * lengthMs - offsetMs;
  }

  /** Returns the name of the count of the customer's units in a window. */
  String unitsCounterName(long window) {
    return Long.toString(customer, NAME_RADIX) + ":" + window;
  }

  /**
   * Returns the name of the count of the customer's open requests that began in a window of {@link
   * ConcurrencyLimiter}.
   */
  String permitsCounterName(long permitWindow) {
    return Long.toString(customer, NAME_RADIX) + ":o" + permitWindow;
  }
}
