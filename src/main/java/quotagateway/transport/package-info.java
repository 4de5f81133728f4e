/**
 * Sockets, timers, connection and memory limits and the clock, shared by the code for all peers.
 */
package quotagateway.transport;
