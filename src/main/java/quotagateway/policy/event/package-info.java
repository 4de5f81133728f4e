/**
 * The events that a gateway reports to its policy. All times are in milliseconds of a single
 * monotonic Unix clock.
 */
package quotagateway.policy.event;
