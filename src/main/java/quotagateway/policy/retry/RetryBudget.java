package quotagateway.policy.retry;

/**
 * Limits retries to a share of all requests, with a token bucket: each first attempt earns a part
 * of a token, each retry spends one. Owned by the policy's thread.
 *
 * <p>Prevents a retry storm: backends that time out under load would get every request several
 * times. Cost: in a fault of many backends some requests fail that a retry would have served.
 */
public final class RetryBudget {

  /** Retries for each first attempt: enough for a fault of a few backends, no load of its own. */
  private static final double EARNED_PER_REQUEST = 0.15;

  /** Retries that the whole fleet may save up for a sudden fault, split among its gateways. */
  private static final double FLEET_MAX_TOKENS = 30;

  private final double maxTokens;
  private double tokens;

  /** A full budget of one of so many gateways. */
  public RetryBudget(int gatewayCount) {
    maxTokens = Math.max(1, FLEET_MAX_TOKENS / Math.max(1, gatewayCount));
    tokens = maxTokens;
  }

  /** Whether a retry may be spent. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** A request's first attempt starts. */
  void earn() {
    tokens = Math.min(maxTokens, tokens + EARNED_PER_REQUEST);
  }

  /**
   * A retry starts. The budget may go below 0, as a retry that had to wait for a backend was
   * allowed earlier.
   */
  void spend() {
    tokens -= 1;
  }
}
