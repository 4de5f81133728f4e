package quotagateway.policy.retry;

import quotagateway.policy.event.Status;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.RequestClass;

/**
 * Outcome of a request's attempts so far, as needed to decide on another attempt. Owned by the
 * policy's thread.
 */
public final class RequestAttempts {

  private final RequestClass requestClass;
  private final Capabilities capabilities;
  private final boolean forwardsBody;
  private int startedCount;
  private boolean mayHaveExecuted;
  private double deduplicatedUntilMs = Double.POSITIVE_INFINITY;
  private boolean exemptFromBudget;
  private boolean bodyPartlySent;
  private boolean hasCancelledAttempt;
  private boolean responseStarted;

  /**
   * Creates the state of a request without attempts.
   *
   * @param requestClass the class of the request
   * @param capabilities the capabilities of the settings under which the request was read
   * @param forwardsBody whether the body is forwarded to the backend while it arrives and is not
   *     buffered
   */
  public RequestAttempts(
      RequestClass requestClass, Capabilities capabilities, boolean forwardsBody) {
    this.requestClass = requestClass;
    this.capabilities = capabilities;
    this.forwardsBody = forwardsBody;
  }

  /**
   * Returns the number of attempts started so far, which is also the number of the next attempt.
   */
  public int startedCount() {
    return startedCount;
  }

  /** Returns whether the response has started to be sent to the client. */
  public boolean hasResponseStarted() {
    return responseStarted;
  }

  /** Records the start of an attempt. */
  public void recordStart() {
    startedCount++;
    exemptFromBudget = false;
  }

  /** Records that the response starts to be sent to the client. */
  public void recordResponseStart() {
    responseStarted = true;
  }

  /** Records that an attempt was cancelled to leave time for another one. */
  public void recordCancellation() {
    hasCancelledAttempt = true;
  }

  /**
   * Records the end of an attempt.
   *
   * @param status how the attempt ended
   * @param sentAtMs when the attempt was sent; the deduplication window begins when the first
   *     attempt that may have been executed was sent
   */
  public void recordEnd(Status status, double sentAtMs) {
    boolean windowOpen = needsDeduplication();
    mayHaveExecuted |= !status.provesNotExecuted();
    if (needsDeduplication() && !windowOpen) {
      deduplicatedUntilMs = sentAtMs + requestClass.deduplicationWindowMs();
    }
    // None of these statuses indicates an overload, which the retry budget protects against.
    exemptFromBudget =
        status == Status.CONNECT_FAILED
            || status == Status.WRITE_INCOMPLETE
            || status == Status.WRITE_STALLED
            || status == Status.NOT_SENT
            || status == Status.MALFORMED_RESPONSE
            || status == Status.RESPONSE_STALLED;
    boolean nothingSent = status == Status.CONNECT_FAILED || status == Status.NOT_SENT;
    bodyPartlySent |= forwardsBody && !nothingSent;
  }

  /**
   * Returns whether another attempt is safe only if backends deduplicate it by its idempotency key:
   * the request may have been executed, and its class allows repeated execution only with a key.
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

  /** Returns whether any attempt ended without proof that it was not executed. */
  boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }

  /**
   * Returns the time until which backends deduplicate executions of the request. Infinite while
   * {@link #needsDeduplication} is false.
   */
  double deduplicatedUntilMs() {
    return deduplicatedUntilMs;
  }

  /** Returns whether a retry after the last attempt is exempt from the retry budget. */
  boolean isExemptFromBudget() {
    return exemptFromBudget;
  }

  /**
   * Returns whether a part of an unbuffered body was sent, so that the body cannot be sent again.
   */
  boolean isBodyPartlySent() {
    return bodyPartlySent;
  }

  /** Returns whether an attempt was cancelled to leave time for another one. */
  boolean hasCancelledAttempt() {
    return hasCancelledAttempt;
  }
}
