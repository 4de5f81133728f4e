package quotagateway.policy.event;

/** An event that a gateway reports to its policy. */
public sealed interface Event
    permits AttemptEnded,
        ClientDisconnected,
        CounterReplied,
        EndpointsUpdated,
        ProcessCountChanged,
        RequestBodyComplete,
        RequestBodyStalled,
        RequestReceived,
        ResponseProgress,
        ResponseStarted,
        SettingsChanged,
        TimerFired {}
