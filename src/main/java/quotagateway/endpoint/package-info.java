/**
 * The endpoints that discovery has listed: an index of all endpoints, and its ordered sets. This
 * package makes no decisions, and does not depend on any other package of the gateway.
 */
package quotagateway.endpoint;
