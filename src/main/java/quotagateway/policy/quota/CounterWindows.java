package quotagateway.policy.quota;

import quotagateway.policy.settings.Plan;

/**
 * The windows of time that a customer's units are counted in, and the names of its counts. Windows
 * begin at different times for different customers, so that their edges do not coincide.
 *
 * <p>A window holds many refills of the bucket where it can. Where it would hold fewer than two,
 * windows are fixed: each allows one burst, and no bucket is followed.
 */
final class CounterWindows {

  /** Longest window of a count: many refills of usual quotas, so that window edges are rare. */
  private static final double MAX_LENGTH_MS = 25_000;

  /**
   * Up to this many gateways, each meets a customer often enough to follow its bucket over the
   * longest window; with more gateways the windows become shorter.
   */
  private static final double MAX_GATEWAYS_FOR_LONGEST_WINDOW = 3;

  /** A window with fewer refills of the bucket than this is a fixed window. */
  private static final double MIN_REFILLS_FOR_BUCKET = 2;

  /** Spreads customer numbers evenly: 2 to the power of 64, divided by the golden ratio. */
  private static final long SPREADING_MULTIPLIER = 0x9E3779B97F4A7C15L;

  /** Counter names carry the customer's number in the shortest digits that there are. */
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
   * Sets the length for a plan. A hard limit is followed over the longest window, however many
   * gateways there are.
   *
   * @param plan of the customer
   * @param gateways through which its requests may come
   * @param sharedCounter whether there is a counter that the windows matter to
   */
  void follow(Plan plan, int gateways, boolean sharedCounter) {
    double refillMs = 0;
    if (plan.unitsPerSecond() > 0) {
      refillMs = 1000 * plan.burstUnits() / plan.unitsPerSecond();
    }
    double longestMs = MAX_LENGTH_MS;
    if (plan.hardLimitUnitsPerSecond() <= 0) {
      longestMs = MAX_LENGTH_MS * MAX_GATEWAYS_FOR_LONGEST_WINDOW / gateways;
    }
    lengthMs = Math.max(refillMs, Math.min(MAX_LENGTH_MS, longestMs));
    fixed = lengthMs < MIN_REFILLS_FOR_BUCKET * refillMs && sharedCounter;
  }

  /** Whether each window allows one burst, and no bucket is followed. */
  boolean areFixed() {
    return fixed;
  }

  /** The number of the window that a time is in. */
  long windowAt(double nowMs) {
    return (long) Math.floor((nowMs + offsetMs) / lengthMs);
  }

  /** When a window begins. */
  double startMs(long window) {
    return window * lengthMs - offsetMs;
  }

  /** The name of the count of the customer's units in a window. */
  String unitsCounterName(long window) {
    return Long.toString(customer, NAME_RADIX) + ":" + window;
  }

  /**
   * The name of the count of the customer's open requests that began in a window of {@link
   * ConcurrencyLimiter}.
   */
  String permitsCounterName(long permitWindow) {
    return Long.toString(customer, NAME_RADIX) + ":o" + permitWindow;
  }
}
