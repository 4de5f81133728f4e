package quotagateway.endpoint;

import java.math.BigDecimal;

/**
 * The mean of the weights of a set of endpoints. Exact, so that it does not drift however many
 * endpoints come and go. Owned by the policy's thread.
 */
final class MeanWeight {

  private BigDecimal total = BigDecimal.ZERO;
  private int count;
  private double mean = 1;
  private boolean meanKnown = true;

  void add(double weight) {
    total = total.add(BigDecimal.valueOf(weight));
    count++;
    meanKnown = false;
  }

  void subtract(double weight) {
    total = total.subtract(BigDecimal.valueOf(weight));
    count--;
    meanKnown = false;
  }

  /** The mean; 1 for an empty set. */
  double value() {
    if (!meanKnown) {
      mean = count == 0 ? 1 : total.doubleValue() / count;
      meanKnown = true;
    }
    return mean;
  }
}
