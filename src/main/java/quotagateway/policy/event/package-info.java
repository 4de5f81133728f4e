/**
 * What a gateway reports to its policy; every time is in milliseconds of one monotonic Unix clock.
 */
package quotagateway.policy.event;
