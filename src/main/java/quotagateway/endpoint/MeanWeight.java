package quotagateway.endpoint;

import java.math.BigDecimal;

/**
 * The mean weight of a set of endpoints. The total is exact, so that it does not drift as endpoints
 * are added and removed. Owned by the policy's thread.
 */
final class MeanWeight {

  private BigDecimal total = BigDecimal.ZERO;
  private int count;
  private double mean = 1;
  private boolean meanUpToDate = true;

  void add(double weight) {
    total = total.add(BigDecimal.valueOf(weight));
    count++;
    meanUpToDate = false;
  }

  void subtract(double weight) {
    total = total.subtract(BigDecimal.valueOf(weight));
    count--;
    meanUpToDate = false;
  }

  /** Returns the mean, or 1 for an empty set. */
  double value() {
    if (!meanUpToDate) {
      mean = count == 0 ? 1 : total.doubleValue() / count;
      meanUpToDate = true;
    }
    return mean;
  }
}
