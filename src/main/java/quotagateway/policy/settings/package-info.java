/** The settings that decisions depend on: immutable, in the units that their names tell. */
package quotagateway.policy.settings;
