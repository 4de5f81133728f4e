/**
 * Decides whether a request gets another attempt, and when an attempt is cancelled to leave time
 * for another one. The routing package selects the backend of an attempt.
 */
package quotagateway.policy.retry;
