package quotagateway.policy.settings;

/** Whether a request may be executed more than once. */
public enum Idempotency {
  /** Any number of executions, on any backends, has the same effect as a single one. */
  IDEMPOTENT,
  /**
   * Within the deduplication window, the backends of one {@link DeduplicationScope} drop repeated
   * executions with the same idempotency key.
   */
  IDEMPOTENT_WITH_KEY,
  /** The request must never be executed twice. */
  NOT_IDEMPOTENT
}
