package quotagateway.policy.event;

import quotagateway.policy.action.Timer;

/**
 * The time of a scheduled timer has come.
 *
 * @param timer which one
 */
public record TimerFired(Timer timer) implements Event {}
