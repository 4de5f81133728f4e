package quotagateway.policy.action;

/** Ask for changes of the endpoint list from now on. */
public record WatchEndpoints() implements Action {}
