/** The client of discovery, which watches the list of endpoints. */
package quotagateway.discovery;
