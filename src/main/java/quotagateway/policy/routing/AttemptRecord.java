package quotagateway.policy.routing;

/**
 * One attempt to have a request executed by a backend. Owned by the policy's thread.
 *
 * <p>This class is not a record because sets of attempts compare them by identity.
 */
public final class AttemptRecord {

  private final int number;
  private final BackendStatus backend;
  private double sentAtMs;
  private boolean reachedBackend;
  private boolean responseBegun;
  private double stalledSinceMs = Double.NaN;

  AttemptRecord(int number, BackendStatus backend, double sentAtMs) {
    this.number = number;
    this.backend = backend;
    this.sentAtMs = sentAtMs;
  }

  /** Returns the attempt's number within its request, starting at 0. */
  public int number() {
    return number;
  }

  /** Returns the backend that the attempt was sent to. */
  public BackendStatus backend() {
    return backend;
  }

  /** Returns when the attempt started, or when the last byte of its request arrived, if later. */
  public double sentAtMs() {
    return sentAtMs;
  }

  /**
   * Returns whether the backend has the complete request, so that the attempt is part of its load.
   */
  public boolean reachedBackend() {
    return reachedBackend;
  }

  /** Returns whether a part of the response has arrived. */
  public boolean hasResponseBegun() {
    return responseBegun;
  }

  /** Returns whether the response has begun and makes no progress. */
  public boolean isStalled() {
    return !Double.isNaN(stalledSinceMs);
  }

  /** Returns whether the backend has completed another response since this one stalled. */
  public boolean isBackendResponsiveDuringStall() {
    return hasBackendRespondedSince(stalledSinceMs);
  }

  /** Returns whether the backend has completed a response since the given time. */
  public boolean hasBackendRespondedSince(double sinceMs) {
    return backend.lastResponseAtMs > sinceMs;
  }

  /**
   * Returns whether the latest responses of the backend that stalled never ended, and it has
   * completed none since.
   */
  public boolean hasBackendWithUnresolvedStalls() {
    return backend.unresolvedStalls > 0;
  }

  void recordProgress(boolean stalled, double nowMs) {
    responseBegun = true;
    stalledSinceMs = stalled ? nowMs : Double.NaN;
  }

  /** Restarts the attempt's time, because the last byte of the request has arrived. */
  void markBodyComplete(double nowMs) {
    sentAtMs = nowMs;
  }

  void markReachedBackend() {
    reachedBackend = true;
  }

  /**
   * Returns whether the attempt looks lost. It does if no response has begun, it has waited longer
   * than the timeout and its backend either has not responded since the attempt was sent, or has
   * already answered an attempt that was sent more than the timeout later.
   *
   * @param lossTimeoutMs time after which a wait is unusual
   * @param nowMs the current time
   */
  public boolean looksLost(double lossTimeoutMs, double nowMs) {
    boolean overtaken = backend.latestAnsweredSentAtMs > sentAtMs + lossTimeoutMs;
    boolean silent = backend.lastResponseAtMs <= sentAtMs;
    return !responseBegun && (overtaken || silent) && nowMs - sentAtMs > lossTimeoutMs;
  }
}
