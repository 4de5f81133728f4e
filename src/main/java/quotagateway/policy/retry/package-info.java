/**
 * Whether a request gets another attempt, and when an attempt is cancelled so that another fits.
 * Where the attempt goes is the matter of routing.
 */
package quotagateway.policy.retry;
