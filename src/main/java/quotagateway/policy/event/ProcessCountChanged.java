package quotagateway.policy.event;

/**
 * Another process of this gateway has started or ended, as during an upgrade. For hard limits the
 * processes count as a single gateway.
 *
 * @param processes number of processes of this gateway, this one included
 */
public record ProcessCountChanged(int processes) implements Event {}
