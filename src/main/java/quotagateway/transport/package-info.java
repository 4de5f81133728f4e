/** Sockets, timers, connection limits and the clock, for every peer alike. */
package quotagateway.transport;
