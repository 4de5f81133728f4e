/**
 * Selection of the backend for each attempt: the state of each backend, which backends can be used,
 * and the choice among them. {@link quotagateway.policy.routing.BackendRouter} is the entry point.
 */
package quotagateway.policy.routing;
