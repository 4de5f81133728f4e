package quotagateway.policy.settings;

/** The backends that recognise each other's idempotency keys. */
public enum DeduplicationScope {
  /** All backends. */
  ALL,
  /** The backends of one zone. */
  ZONE,
  /** The backends of one cell of a zone. */
  CELL
}
