/** What a policy has its gateway do. */
package quotagateway.policy.action;
