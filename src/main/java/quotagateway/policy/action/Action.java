package quotagateway.policy.action;

/** An instruction from a policy to its gateway. */
public sealed interface Action
    permits CancelAttempt,
        FailRequest,
        IncrementCounter,
        RejectRequest,
        ScheduleTimer,
        StartAttempt,
        WatchEndpoints {

  /** Calls the handler method for this type of action. */
  <E extends Exception> void handle(Handler<E> handler) throws E;

  /**
   * Executes actions of every type. It has one method for each type, so that a new type of action
   * does not compile until every handler supports it.
   *
   * @param <E> exception that the execution of an action may throw
   */
  interface Handler<E extends Exception> {

    /** Cancels an attempt in flight. */
    void onCancelAttempt(CancelAttempt action) throws E;

    /** Sends a failure as the final response. */
    void onFailRequest(FailRequest action) throws E;

    /** Calls the shared counter. */
    void onIncrementCounter(IncrementCounter action) throws E;

    /** Sends a rejection as the final response. */
    void onRejectRequest(RejectRequest action) throws E;

    /** Schedules a timer of the policy. */
    void onScheduleTimer(ScheduleTimer action) throws E;

    /** Starts an attempt. */
    void onStartAttempt(StartAttempt action) throws E;

    /** Subscribes to changes of the endpoint list. */
    void onWatchEndpoints(WatchEndpoints action) throws E;
  }
}
