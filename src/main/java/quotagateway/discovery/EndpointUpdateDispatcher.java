package quotagateway.discovery;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;

/**
 * Delivers the messages of discovery to a listener in order. Splits a long message into fragments
 * and delivers each in its own task on the event loop, so that requests do not wait until the
 * complete list is applied. Not thread-safe: belongs to the event loop that it is given.
 */
public final class EndpointUpdateDispatcher {

  /**
   * Limits the work of one task: applying an endpoint takes 10 us or less, so a fragment takes
   * about a millisecond.
   */
  static final int MAX_FRAGMENT_ENDPOINTS = 128;

  private final Executor loop;
  private final Consumer<EndpointUpdate> listener;
  private final ArrayDeque<EndpointUpdate> fragments = new ArrayDeque<>();
  private boolean dispatching;

  /**
   * Creates a dispatcher.
   *
   * @param loop runs the tasks after the first one
   * @param listener receives the messages and fragments
   */
  public EndpointUpdateDispatcher(Executor loop, Consumer<EndpointUpdate> listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /**
   * Delivers a complete message. If no earlier fragments are waiting, its first fragment, or all of
   * a short message, is delivered before this method returns.
   */
  public void dispatch(EndpointUpdate update) {
    List<Endpoint> endpoints = update.endpoints();
    int startIndex = 0;
    while (endpoints.size() - startIndex > MAX_FRAGMENT_ENDPOINTS) {
      int endIndex = startIndex + MAX_FRAGMENT_ENDPOINTS;
      fragments.add(
          new EndpointUpdate(
              EndpointUpdate.NO_VERSION,
              EndpointListForm.FRAGMENT,
              endpoints.subList(startIndex, endIndex)));
      startIndex = endIndex;
    }
    fragments.add(
        new EndpointUpdate(
            update.version(), update.form(), endpoints.subList(startIndex, endpoints.size())));
    if (!dispatching) {
      dispatchNext();
    }
  }

  private void dispatchNext() {
    dispatching = true;
    listener.accept(fragments.poll());
    if (fragments.isEmpty()) {
      dispatching = false;
    } else {
      loop.execute(this::dispatchNext);
    }
  }
}
