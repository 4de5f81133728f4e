package quotagateway.policy.settings;

/** The set of backends that recognize each other's idempotency keys. */
public enum DeduplicationScope {
  /** All backends. */
  ALL,
  /** The backends of one zone. */
  ZONE,
  /** The backends of one cell of a zone. */
  CELL
}
