/** The discovery client, which watches the endpoint list. */
package quotagateway.discovery;
