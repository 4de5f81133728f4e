/** Load-based admission: decides which requests are shed while the backends are overloaded. */
package quotagateway.policy.admission;
