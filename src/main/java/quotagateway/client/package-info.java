/**
 * The clients' side: accepting connections, reading requests within limits, one exchange at a time
 * with its one final response, and closing. {@link quotagateway.client.ClientServer} is the entry;
 * all of it runs on the event loop's thread.
 */
package quotagateway.client;
