package quotagateway.policy.action;

/** What a policy has its gateway do. */
public sealed interface Action
    permits CancelAttempt,
        FailRequest,
        IncrementCounter,
        RejectRequest,
        ScheduleTimer,
        StartAttempt,
        WatchEndpoints {}
