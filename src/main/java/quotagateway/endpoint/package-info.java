/**
 * The endpoints that discovery has listed: an index of all of them, and its ordered sets. Nothing
 * is decided here, and no type of this package refers to another package of the gateway.
 */
package quotagateway.endpoint;
