package quotagateway.testing;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import quotagateway.counter.CounterLineCodec;
import quotagateway.discovery.EndpointListReader;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.discovery.EndpointUpdateDispatcher;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.event.EndpointsUpdated;

/**
 * The program's own reading of discovery's messages and writing of the counter's calls, opened for
 * the scale tests, which have no sockets. Nothing else of this package is used there.
 */
public final class WireFormats {

  private WireFormats() {}

  /**
   * Reads one message of discovery, as a watch does.
   *
   * @param message one JSON object in UTF-8
   * @throws IOException where a watch would end: malformed, without a list, or beyond a limit of
   *     the reader
   */
  public static EndpointsUpdated readEndpointList(byte[] message) throws IOException {
    List<EndpointUpdate> received = new ArrayList<>();
    new EndpointListReader(Integer.MAX_VALUE, received::add).read(message);
    if (received.size() != 1) {
      throw new IOException("not one complete message");
    }
    return new EndpointsUpdated(received.get(0).form(), received.get(0).endpoints());
  }

  /**
   * Parts a message into the fragments in which the program applies it, each in a task of its own.
   */
  public static List<EndpointsUpdated> fragments(EndpointsUpdated message) {
    Queue<Runnable> tasks = new ArrayDeque<>();
    List<EndpointsUpdated> fragments = new ArrayList<>();
    new EndpointUpdateDispatcher(
            tasks::add,
            fragment -> fragments.add(new EndpointsUpdated(fragment.form(), fragment.endpoints())))
        .dispatch(new EndpointUpdate(0, message.form(), message.endpoints()));
    while (!tasks.isEmpty()) {
      tasks.poll().run();
    }
    return fragments;
  }

  /** The line of one call to the counter, with its line end. */
  public static String encodeIncrement(IncrementCounter call) {
    return CounterLineCodec.encodeIncrement(call.counterName(), call.amount(), call.ttlMs());
  }
}
