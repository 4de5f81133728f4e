/** The immutable settings that decisions depend on, in the units that their names indicate. */
package quotagateway.policy.settings;
