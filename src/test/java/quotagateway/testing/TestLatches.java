package quotagateway.testing;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Blocks a fake peer until the test releases it. */
public final class TestLatches {

  private static final int TIMEOUT_S = 20;

  private TestLatches() {}

  /** Waits for the latch for up to 20 s. */
  public static void await(CountDownLatch latch) {
    try {
      latch.await(TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
