package quotagateway.testing;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Holds a stand-in back until the test lets it go on. */
public final class TestLatches {

  private static final int TIMEOUT_S = 20;

  private TestLatches() {}

  /** Waits for the latch, for 20 s at most. */
  public static void await(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
