package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;

/** Tests the order and the fragments in which messages of discovery reach their listener. */
class EndpointUpdateDispatcherTest {

  private final List<EndpointUpdate> received = new ArrayList<>();

  /**
   * Each fragment is delivered in its own task, and a message that follows a long one waits for its
   * last fragment.
   */
  @Test
  void dispatchesLongListInFragmentsAndInOrder() {
    Queue<Runnable> tasks = new ArrayDeque<>();
    EndpointUpdateDispatcher dispatcher = new EndpointUpdateDispatcher(tasks::add, received::add);
    int length = 2 * EndpointUpdateDispatcher.MAX_FRAGMENT_ENDPOINTS + 1;
    List<Endpoint> allEndpoints =
        IntStream.range(0, length)
            .mapToObj(id -> new Endpoint(id, "a", 0, EndpointState.SERVING, 1, 0))
            .toList();
    dispatcher.dispatch(new EndpointUpdate(5, true, allEndpoints));
    dispatcher.dispatch(new EndpointUpdate(6, false, List.of()));
    assertEquals(1, received.size());
    while (!tasks.isEmpty()) {
      tasks.poll().run();
    }
    assertEquals(
        allEndpoints, received.stream().flatMap(update -> update.endpoints().stream()).toList());
    assertEquals(
        List.of(
            EndpointListForm.FRAGMENT,
            EndpointListForm.FRAGMENT,
            EndpointListForm.SNAPSHOT,
            EndpointListForm.DELTA),
        received.stream().map(EndpointUpdate::form).toList());
    assertEquals(List.of(0L, 0L, 5L, 6L), received.stream().map(EndpointUpdate::version).toList());
    dispatcher.dispatch(new EndpointUpdate(7, false, List.of()));
    assertEquals(7, received.get(4).version());
  }
}
