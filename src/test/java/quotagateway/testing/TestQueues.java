package quotagateway.testing;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/** Waits for what a stand-in received. */
public final class TestQueues {

  private static final int TIMEOUT_S = 10;

  private TestQueues() {}

  /** Takes the next element; fails the test where none comes in 10 s. */
  public static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
    T found = queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
    if (found == null) {
      throw new AssertionError("nothing came in " + TIMEOUT_S + " s");
    }
    return found;
  }
}
