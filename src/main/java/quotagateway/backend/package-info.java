/**
 * The backends' side: attempts on connections that are opened, reused and retired, and what the
 * response, or the end of the connection, means. {@link quotagateway.backend.BackendConnectionPool}
 * is the entry; all of it runs on the event loop's thread.
 */
package quotagateway.backend;
