package quotagateway.policy.event;

import quotagateway.policy.action.Timer;

/**
 * Reports that a scheduled timer is due.
 *
 * @param timer the timer
 */
public record TimerFired(Timer timer) implements Event {}
