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
 * Exposes the gateway's decoder for discovery messages and its encoder for counter calls to the
 * scale tests, most of which run without sockets.
 */
public final class WireFormats {

  private WireFormats() {}

  /**
   * Decodes one discovery message as a watch does.
   *
   * @param message one JSON object in UTF-8
   * @throws IOException if the message would end a watch: it is malformed, contains no list or
   *     exceeds a limit of the reader
   */
  public static EndpointsUpdated readEndpointList(byte[] message) throws IOException {
    List<EndpointUpdate> updates = new ArrayList<>();
    new EndpointListReader(Integer.MAX_VALUE, updates::add).read(message);
    if (updates.size() != 1) {
      throw new IOException("expected exactly one complete message");
    }
    return new EndpointsUpdated(updates.get(0).form(), updates.get(0).endpoints());
  }

  /** Splits a message into the fragments that the gateway applies in separate event-loop tasks. */
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

  /** Encodes a counter call as a line with its line terminator. */
  public static String encodeIncrement(IncrementCounter call) {
    return CounterLineCodec.encodeIncrement(call.counterName(), call.amount(), call.ttlMs());
  }
}
