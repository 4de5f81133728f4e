package quotagateway.policy.context;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests how new samples and elapsed time reduce the weight of older samples. */
class ExponentialMeanTest {

  private static final double NOW_MS = 1_000_000;

  private final ExponentialMean mean = new ExponentialMean(0.2, 1_000, NOW_MS);

  @Test
  void givesFrequentSamplesMinimumWeight() {
    mean.add(10, NOW_MS);
    mean.add(10, NOW_MS);
    assertEquals(3.6, mean.value(), 1e-12);
  }

  @Test
  void givesRareSamplesMoreWeight() {
    mean.add(10, NOW_MS + 1_000);
    assertEquals(10 * (1 - Math.exp(-1)), mean.value(), 1e-12);
  }

  @Test
  void usesGivenMinimumWeightForSingleSample() {
    mean.add(10, 0.5, NOW_MS);
    assertEquals(5, mean.value());
  }

  @Test
  void decaysFromLatestSample() {
    mean.add(10, NOW_MS);
    assertEquals(2 * Math.exp(-0.5), mean.decayedValue(NOW_MS + 500), 1e-12);
    assertEquals(2, mean.value());
  }

  @Test
  void derivesWeightFromTimeSincePreviousSample() {
    mean.add(10, NOW_MS + 1_000);
    double before = mean.value();
    mean.add(0, NOW_MS + 1_000);
    assertEquals(0.8 * before, mean.value(), 1e-12);
  }
}
