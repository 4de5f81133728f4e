/**
 * Customers' quotas: each gateway's replica of a customer's token bucket, kept in step by shared
 * counts; hard limits, concurrency limits, and when the shared counter is called.
 */
package quotagateway.policy.quota;
