/** The client of the shared counter, in which the gateways count the usage of each quota window. */
package quotagateway.counter;
