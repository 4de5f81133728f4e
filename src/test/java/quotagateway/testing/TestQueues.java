package quotagateway.testing;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/** Waits for elements that a fake peer records in a queue. */
public final class TestQueues {

  private static final int TIMEOUT_S = 10;

  private TestQueues() {}

  /** Takes the next element; fails the test if none arrives within 10 s. */
  public static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
    T element = queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
    if (element == null) {
      throw new AssertionError("no element arrived within " + TIMEOUT_S + " s");
    }
    return element;
  }
}
