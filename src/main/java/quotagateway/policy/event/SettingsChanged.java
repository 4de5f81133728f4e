package quotagateway.policy.event;

import quotagateway.policy.settings.PolicySettings;

/**
 * Other settings hold from now on; what is open keeps its class.
 *
 * @param settings all of them
 */
public record SettingsChanged(PolicySettings settings) implements Event {}
