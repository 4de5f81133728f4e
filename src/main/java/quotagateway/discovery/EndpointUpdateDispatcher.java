package quotagateway.discovery;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;

/**
 * Hands messages of discovery on in their order, a long one in pieces, each in a turn of the event
 * loop of its own, so that requests do not wait until a long list is applied.
 */
public final class EndpointUpdateDispatcher {

  /**
   * Entries of one piece: applying one takes 10 us or less, so a piece takes about a millisecond.
   */
  static final int MAX_FRAGMENT_ENDPOINTS = 128;

  private final Executor loop;
  private final Consumer<EndpointUpdate> listener;
  private final ArrayDeque<EndpointUpdate> pieces = new ArrayDeque<>();
  private boolean busy;

  public EndpointUpdateDispatcher(Executor loop, Consumer<EndpointUpdate> listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /**
   * Takes a whole message; one of a single piece is handed on at once, unless others are still
   * waiting.
   */
  public void dispatch(EndpointUpdate news) {
    List<Endpoint> entries = news.endpoints();
    int at = 0;
    for (; entries.size() - at > MAX_FRAGMENT_ENDPOINTS; at += MAX_FRAGMENT_ENDPOINTS) {
      pieces.add(
          new EndpointUpdate(
              0, EndpointListForm.FRAGMENT, entries.subList(at, at + MAX_FRAGMENT_ENDPOINTS)));
    }
    pieces.add(
        new EndpointUpdate(news.version(), news.form(), entries.subList(at, entries.size())));
    if (!busy) {
      handOn();
    }
  }

  private void handOn() {
    busy = true;
    listener.accept(pieces.poll());
    if (pieces.isEmpty()) {
      busy = false;
    } else {
      loop.execute(this::handOn);
    }
  }
}
