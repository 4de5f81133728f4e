/**
 * To which backend an attempt goes: what is known of each backend, which of them may be used, and
 * the choice among those. {@link quotagateway.policy.routing.BackendRouter} is the entry.
 */
package quotagateway.policy.routing;
