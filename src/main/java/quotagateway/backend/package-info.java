/**
 * Sends requests to backends. The package opens, reuses and closes connections, runs attempts on
 * them, and maps a response, or the end of a connection, to the status of an attempt. The entry
 * point is {@link quotagateway.backend.BackendConnectionPool}. All classes are confined to the
 * event loop's thread, except where a method says otherwise.
 */
package quotagateway.backend;
