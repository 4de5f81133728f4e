/**
 * Soak of real gateway processes between stand-ins of their peers. What happens is drawn from a
 * seed; what every stand-in saw is kept as a history by request, on which the rules are checked.
 */
package quotagateway.soak;
