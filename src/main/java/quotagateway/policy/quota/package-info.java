/**
 * Customers' quotas: each gateway's replica of a customer's token bucket, synchronized by shared
 * counts; hard limits; concurrency limits; and the throttle of calls to the shared counter.
 */
package quotagateway.policy.quota;
