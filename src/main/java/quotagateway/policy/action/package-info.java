/** The actions that a policy instructs its gateway to execute. */
package quotagateway.policy.action;
