package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the growth, jitter and reset of delays. */
class ExponentialBackoffTest {

  @Test
  void doublesTheDelayUpToTheMaximumAndRestartsAfterAReset() {
    ExponentialBackoff withoutJitter = new ExponentialBackoff(50, () -> 0.5);
    double[] expectedMs = {50, 100, 200, 400, 400};
    for (double delayMs : expectedMs) {
      assertEquals(delayMs, withoutJitter.nextDelayMs(400));
    }
    withoutJitter.reset();
    assertEquals(50, withoutJitter.nextDelayMs(400));
  }

  @Test
  void jitterVariesTheDelayFromHalfToOneAndAHalfTimesItsBase() {
    assertEquals(25, new ExponentialBackoff(50, () -> 0).nextDelayMs(400));
    assertEquals(75, new ExponentialBackoff(50, () -> 1).nextDelayMs(400));
  }
}
