package quotagateway.policy.settings;

/** Whether a request may be executed more than once. */
public enum Idempotency {
  /** Any number of executions, on any backends, has the effect of one. */
  IDEMPOTENT,
  /**
   * Backends that share a {@link DeduplicationScope} drop a repeated execution with the same
   * idempotency key, for as long as the deduplication window lasts.
   */
  IDEMPOTENT_WITH_KEY,
  /** It must never be executed twice. */
  NOT_IDEMPOTENT
}
