package quotagateway.policy.action;

/** Subscribes to changes of the endpoint list from now on. */
public record WatchEndpoints() implements Action {

  @Override
  public <E extends Exception> void handle(Handler<E> handler) throws E {
    handler.onWatchEndpoints(this);
  }
}
