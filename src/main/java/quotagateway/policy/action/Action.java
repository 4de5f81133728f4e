package quotagateway.policy.action;

/** What a policy has its gateway do. */
public sealed interface Action
    permits CancelAttempt,
        FailRequest,
        IncrementCounter,
        RejectRequest,
        ScheduleTimer,
        StartAttempt,
        WatchEndpoints {

  /** Calls the handler's method for this kind of action. */
  <E extends Exception> void handle(Handler<E> handler) throws E;

  /**
   * Executes actions of all kinds; a new kind does not compile until every handler has a method for
   * it.
   *
   * @param <E> what executing an action may throw
   */
  interface Handler<E extends Exception> {

    /** Cancels an attempt that is in flight. */
    void onCancelAttempt(CancelAttempt action) throws E;

    /** Sends the final response of a failure. */
    void onFailRequest(FailRequest action) throws E;

    /** Calls the counter. */
    void onIncrementCounter(IncrementCounter action) throws E;

    /** Sends the final response of a rejection. */
    void onRejectRequest(RejectRequest action) throws E;

    /** Schedules a timer of the policy. */
    void onScheduleTimer(ScheduleTimer action) throws E;

    /** Starts an attempt. */
    void onStartAttempt(StartAttempt action) throws E;

    /** Asks for changes of the endpoint list. */
    void onWatchEndpoints(WatchEndpoints action) throws E;
  }
}
