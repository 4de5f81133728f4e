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

    void onCancelAttempt(CancelAttempt action) throws E;

    void onFailRequest(FailRequest action) throws E;

    void onIncrementCounter(IncrementCounter action) throws E;

    void onRejectRequest(RejectRequest action) throws E;

    void onScheduleTimer(ScheduleTimer action) throws E;

    void onStartAttempt(StartAttempt action) throws E;

    void onWatchEndpoints(WatchEndpoints action) throws E;
  }
}
