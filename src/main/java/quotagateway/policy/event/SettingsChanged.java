package quotagateway.policy.event;

import quotagateway.policy.settings.PolicySettings;

/**
 * Puts new settings into force. Open requests keep their request class.
 *
 * @param settings the complete new settings
 */
public record SettingsChanged(PolicySettings settings) implements Event {}
