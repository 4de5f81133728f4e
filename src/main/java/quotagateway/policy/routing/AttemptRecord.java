package quotagateway.policy.routing;

/**
 * One attempt to have a request executed by a backend. Owned by the policy's thread.
 *
 * <p>No record: sets of attempts go by identity.
 */
public final class AttemptRecord {

  private final int number;
  private final BackendStatus backend;
  private double sentAtMs;
  private boolean reachedBackend;

  AttemptRecord(int number, BackendStatus backend, double sentAtMs) {
    this.number = number;
    this.backend = backend;
    this.sentAtMs = sentAtMs;
  }

  /** Its number among the attempts of its request, from 0. */
  public int number() {
    return number;
  }

  /** Where it was sent. */
  public BackendStatus backend() {
    return backend;
  }

  /** When it was started, or when the last byte of its request came, if that was later. */
  public double sentAtMs() {
    return sentAtMs;
  }

  /** Whether the backend has the whole request, so that the attempt is part of its load. */
  public boolean reachedBackend() {
    return reachedBackend;
  }

  /** The backend begins only now, as the last byte of the request has come. */
  void bodyComplete(double nowMs) {
    sentAtMs = nowMs;
  }

  void markReachedBackend() {
    reachedBackend = true;
  }

  /**
   * Whether the attempt looks lost: it has waited longer than the given time, and its backend has
   * answered nothing since it was sent, or has already answered an attempt that was sent later by
   * more than that time.
   *
   * @param lossTimeoutMs time after which a wait is unusual
   * @param nowMs the present time
   */
  public boolean looksLost(double lossTimeoutMs, double nowMs) {
    boolean overtaken = backend.latestAnsweredSentAtMs > sentAtMs + lossTimeoutMs;
    boolean silent = backend.lastResponseAtMs <= sentAtMs;
    return (overtaken || silent) && nowMs - sentAtMs > lossTimeoutMs;
  }
}
