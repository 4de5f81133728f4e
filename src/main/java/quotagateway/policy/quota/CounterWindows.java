package quotagateway.policy.quota;

/**
 * The windows of time that a customer's units are counted in, and the names of its counts. Windows
 * begin at different times for different customers, so that their edges do not coincide.
 */
final class CounterWindows {

  /** Longest window of a count: many refills of usual quotas, so that window edges are rare. */
  static final double MAX_LENGTH_MS = 25_000;

  /** Spreads customer numbers evenly: 2 to the power of 64, divided by the golden ratio. */
  private static final long SPREADING_MULTIPLIER = 0x9E3779B97F4A7C15L;

  /** Counter names carry the customer's number in the shortest digits that there are. */
  private static final int NAME_RADIX = 36;

  private final long customer;
  private final double offsetMs;
  private double lengthMs = MAX_LENGTH_MS;

  CounterWindows(long customer) {
    this.customer = customer;
    this.offsetMs = Math.floorMod(customer * SPREADING_MULTIPLIER, (long) MAX_LENGTH_MS);
  }

  /** Changes the length, in milliseconds. */
  void setLengthMs(double changedLengthMs) {
    lengthMs = changedLengthMs;
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
