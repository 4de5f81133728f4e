/** The client of the shared counter, on which the gateways count the use of each quota window. */
package quotagateway.counter;
