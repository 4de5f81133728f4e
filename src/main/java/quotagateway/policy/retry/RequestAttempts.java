package quotagateway.policy.retry;

import quotagateway.policy.event.Status;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.RequestClass;

/**
 * What the attempts of one request came to, as far as it bears on a further one. Owned by the
 * policy's thread.
 */
public final class RequestAttempts {

  private final RequestClass requestClass;
  private final Capabilities capabilities;
  private final boolean forwardsBody;
  private int started;
  private boolean mayHaveExecuted;
  private double deduplicatedUntilMs = Double.POSITIVE_INFINITY;
  private boolean exemptFromBudget;
  private boolean bodyPartlySent;
  private boolean cancelled;
  private boolean responseStarted;

  /**
   * A request without attempts.
   *
   * @param requestClass that it is served by
   * @param capabilities by the settings that it was read by
   * @param forwardsBody whether its body goes to the backend while it comes in, and is not kept
   */
  public RequestAttempts(
      RequestClass requestClass, Capabilities capabilities, boolean forwardsBody) {
    this.requestClass = requestClass;
    this.capabilities = capabilities;
    this.forwardsBody = forwardsBody;
  }

  /** How many attempts were started, which is the number of the next one. */
  public int started() {
    return started;
  }

  /** Whether its response has begun to go to the client. */
  public boolean hasResponseStarted() {
    return responseStarted;
  }

  /** Notes that an attempt is started. */
  public void recordStart() {
    started++;
    exemptFromBudget = false;
  }

  /** Notes that its response begins to go to the client. */
  public void recordResponseStart() {
    responseStarted = true;
  }

  /** Notes that an attempt was cancelled so that another fits. */
  public void recordCancellation() {
    cancelled = true;
  }

  /**
   * Notes how an attempt ended.
   *
   * @param status how
   * @param sentAtMs when the attempt was sent; the deduplication window of the first one that may
   *     have been executed begins there
   */
  public void recordEnd(Status status, double sentAtMs) {
    boolean windowOpen = needsDeduplication();
    mayHaveExecuted |= !status.provesNotExecuted();
    if (needsDeduplication() && !windowOpen) {
      deduplicatedUntilMs = sentAtMs + requestClass.deduplicationWindowMs();
    }
    // None of these shows an overload, which is what the retry budget prevents.
    exemptFromBudget =
        status == Status.CONNECT_FAILED
            || status == Status.WRITE_INCOMPLETE
            || status == Status.NOT_SENT
            || status == Status.MALFORMED_RESPONSE;
    boolean nothingSent = status == Status.CONNECT_FAILED || status == Status.NOT_SENT;
    bodyPartlySent |= forwardsBody && !nothingSent;
  }

  /**
   * Whether a further attempt is safe only where its idempotency key is recognised: the request may
   * have been executed, and its class allows that again with a key.
   */
  public boolean needsDeduplication() {
    return mayHaveExecuted && requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  Capabilities capabilities() {
    return capabilities;
  }

  boolean forwardsBody() {
    return forwardsBody;
  }

  /** Whether any attempt ended without proof that it was not executed. */
  boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }

  /** Until when backends drop repeated executions; infinite while that need not be known. */
  double deduplicatedUntilMs() {
    return deduplicatedUntilMs;
  }

  /** Whether the retry that follows on the last attempt is free of the budget. */
  boolean isExemptFromBudget() {
    return exemptFromBudget;
  }

  /** Whether a part of a body that is not kept has gone, so that it cannot be sent again. */
  boolean isBodyPartlySent() {
    return bodyPartlySent;
  }

  /** Whether one of its attempts was cancelled so that another fits. */
  boolean isCancelled() {
    return cancelled;
  }
}
