/**
 * The client side of the gateway: accepts connections, reads requests within limits, handles one
 * exchange with one final response at a time, and closes connections. {@link
 * quotagateway.client.ClientServer} is the entry point; all of it runs on the event loop's thread.
 */
package quotagateway.client;
