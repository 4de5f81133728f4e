package quotagateway.discovery;

import java.util.function.DoubleSupplier;
import quotagateway.transport.ExponentialBackoff;

/**
 * How long to wait before the next watch of the endpoint list. A watch that ended is opened again
 * soon, since every change counts as notified a few seconds after discovery had it. While list
 * after list is invalid the delays grow, since every gateway requests the same list again. Not
 * thread-safe: belongs to the event loop of its client.
 */
final class WatchBackoff {

  private static final double MIN_BACKOFF_MS = 100;

  /**
   * Bounds the base of a delay after a watch that ended. With jitter the delay is 300 ms at most,
   * well within the second that a draining endpoint leaves for its last requests.
   */
  private static final double MAX_BACKOFF_MS = 200;

  /**
   * Bounds the base of a delay while lists are invalid. With jitter the delay is 3 s at most: the
   * next list may be valid, and its changes count as notified 6 s after discovery had them, even if
   * watches failed meanwhile.
   */
  private static final double MAX_INVALID_LIST_BACKOFF_MS = 2_000;

  /**
   * So many invalid lists in a row are taken for bytes damaged on the way: the delays after them
   * are those after a watch that ended.
   */
  private static final int MAX_TRANSIENT_INVALID_LISTS = 3;

  /**
   * A watch that lasted longer was a good one. A shorter one does not reset the backoff: junk on
   * each new watch would become a busy loop.
   */
  private static final double MIN_STABLE_WATCH_MS = 5_000;

  private final ExponentialBackoff backoff;
  private int consecutiveInvalidLists;

  /**
   * Creates a backoff that starts at its minimum.
   *
   * @param random gives numbers from 0 to 1, one for each delay
   */
  WatchBackoff(DoubleSupplier random) {
    backoff = new ExponentialBackoff(MIN_BACKOFF_MS, random);
  }

  /** Starts anew, as another address is watched from now on. */
  void reset() {
    backoff.reset();
    consecutiveInvalidLists = 0;
  }

  /**
   * Notes that a list was valid.
   *
   * @return whether the one before was invalid
   */
  boolean onValidList() {
    boolean recovered = consecutiveInvalidLists > 0;
    if (recovered) {
      reset();
    }
    return recovered;
  }

  /**
   * Notes that a list was invalid.
   *
   * @return whether it is the first in a row
   */
  boolean onInvalidList() {
    consecutiveInvalidLists++;
    return consecutiveInvalidLists == 1;
  }

  /**
   * The delay before the next watch, in milliseconds.
   *
   * @param watchDurationMs how long the watch lasted that has just ended
   */
  double nextDelayMs(double watchDurationMs) {
    if (watchDurationMs > MIN_STABLE_WATCH_MS && consecutiveInvalidLists == 0) {
      backoff.reset();
    }
    boolean transientFault = consecutiveInvalidLists < MAX_TRANSIENT_INVALID_LISTS;
    return backoff.nextDelayMs(transientFault ? MAX_BACKOFF_MS : MAX_INVALID_LIST_BACKOFF_MS);
  }
}
