package quotagateway.discovery;

import java.util.function.DoubleSupplier;
import quotagateway.transport.ExponentialBackoff;

/**
 * Computes the delay before the next watch of the endpoint list. A new watch is opened soon after
 * one that ended, since the gateway counts as notified of every change a few seconds after
 * discovery has it. The delays grow while consecutive lists are invalid, since every gateway
 * requests the same list again. Not thread-safe: belongs to the event loop of its client.
 */
final class WatchBackoff {

  private static final double MIN_BACKOFF_MS = 100;

  /**
   * Limits the base of a delay after a watch that ended. With jitter the delay is at most 300 ms,
   * well within the second that a draining endpoint leaves for its last requests.
   */
  private static final double MAX_BACKOFF_MS = 200;

  /**
   * Limits the base of a delay while lists are invalid. With jitter the delay is at most 3 s. The
   * next list may be valid, and the gateway counts as notified of its changes 6 s after discovery
   * has them, even if watches failed in between.
   */
  private static final double MAX_INVALID_LIST_BACKOFF_MS = 2_000;

  /**
   * Number of consecutive invalid lists that are attributed to bytes damaged in transit. The delays
   * after them are the same as after a watch that ended.
   */
  private static final int MAX_TRANSIENT_INVALID_LISTS = 3;

  /**
   * A watch that lasted longer resets the backoff. A shorter one does not: otherwise invalid data
   * on each new watch would cause a busy loop.
   */
  private static final double MIN_STABLE_WATCH_MS = 5_000;

  private final ExponentialBackoff backoff;
  private int consecutiveInvalidLists;

  /**
   * Creates a backoff that starts at its minimum.
   *
   * @param random returns numbers from 0 to 1; called once for each delay
   */
  WatchBackoff(DoubleSupplier random) {
    backoff = new ExponentialBackoff(MIN_BACKOFF_MS, random);
  }

  /**
   * Resets the delays and the count of invalid lists, for example for a watch at another address.
   */
  void reset() {
    backoff.reset();
    consecutiveInvalidLists = 0;
  }

  /**
   * Records a valid list.
   *
   * @return whether the previous list was invalid
   */
  boolean onValidList() {
    boolean recovered = consecutiveInvalidLists > 0;
    if (recovered) {
      reset();
    }
    return recovered;
  }

  /**
   * Records an invalid list.
   *
   * @return whether it is the first of consecutive invalid lists
   */
  boolean onInvalidList() {
    consecutiveInvalidLists++;
    return consecutiveInvalidLists == 1;
  }

  /**
   * Returns the delay before the next watch, in milliseconds.
   *
   * @param watchDurationMs duration of the watch that has just ended
   */
  double nextDelayMs(double watchDurationMs) {
    if (watchDurationMs > MIN_STABLE_WATCH_MS && consecutiveInvalidLists == 0) {
      backoff.reset();
    }
    boolean presumedTransient = consecutiveInvalidLists < MAX_TRANSIENT_INVALID_LISTS;
    return backoff.nextDelayMs(presumedTransient ? MAX_BACKOFF_MS : MAX_INVALID_LIST_BACKOFF_MS);
  }
}
