package quotagateway.policy.retry;

/**
 * Limits retries to a share of all requests with a token bucket: each first attempt adds a fraction
 * of a token, and each retry takes one token. Owned by the policy's thread.
 *
 * <p>Without this, backends that time out under load would receive every request several times (a
 * retry storm). The drawback is that in a fault of many backends some requests fail although a
 * retry would have succeeded.
 */
public final class RetryBudget {

  /**
   * Tokens added per first attempt: enough retries for a fault of a few backends, without
   * significant load.
   */
  private static final double TOKENS_PER_REQUEST = 0.15;

  /**
   * Maximum number of tokens of all gateways together, kept for sudden faults and split evenly
   * among the gateways.
   */
  private static final double FLEET_MAX_TOKENS = 30;

  private final double maxTokens;
  private double tokens;

  /** Creates a full budget for one of the given number of gateways. */
  public RetryBudget(int gatewayCount) {
    maxTokens = Math.max(1, FLEET_MAX_TOKENS / Math.max(1, gatewayCount));
    tokens = maxTokens;
  }

  /** Returns whether the budget allows a retry. */
  boolean hasToken() {
    return tokens >= 1;
  }

  /** Records the start of a request's first attempt. */
  void earn() {
    tokens = Math.min(maxTokens, tokens + TOKENS_PER_REQUEST);
  }

  /**
   * Records the start of a retry. The number of tokens may become negative, because a retry that
   * has to wait for a backend was allowed earlier.
   */
  void spend() {
    tokens -= 1;
  }
}
