package quotagateway.discovery;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;

/**
 * Passes the messages of discovery to their listener in order, a long one in fragments, each in a
 * task of its own on the event loop, so that requests do not wait until a long list is applied. Not
 * thread-safe: belongs to the event loop that it is given.
 */
public final class EndpointUpdateDispatcher {

  /**
   * Bounds the work of one task: applying an endpoint takes 10 us or less, so a fragment takes
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
   * @param loop runs the tasks after the first
   * @param listener gets the messages and fragments
   */
  public EndpointUpdateDispatcher(Executor loop, Consumer<EndpointUpdate> listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /**
   * Passes on a complete message: its first fragment, or all of a short one, before this returns,
   * unless others are still waiting.
   */
  public void dispatch(EndpointUpdate update) {
    List<Endpoint> endpoints = update.endpoints();
    int from = 0;
    while (endpoints.size() - from > MAX_FRAGMENT_ENDPOINTS) {
      int to = from + MAX_FRAGMENT_ENDPOINTS;
      fragments.add(
          new EndpointUpdate(
              EndpointUpdate.NO_VERSION, EndpointListForm.FRAGMENT, endpoints.subList(from, to)));
      from = to;
    }
    fragments.add(
        new EndpointUpdate(
            update.version(), update.form(), endpoints.subList(from, endpoints.size())));
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
