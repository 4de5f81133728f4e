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
  public static EndpointsUpdated roster(byte[] message) throws IOException {
    List<EndpointUpdate> heard = new ArrayList<>();
    new EndpointListReader(Integer.MAX_VALUE, heard::add).read(message);
    if (heard.size() != 1) {
      throw new IOException("not one whole message");
    }
    return new EndpointsUpdated(heard.get(0).form(), heard.get(0).endpoints());
  }

  /**
   * What a message tells, in the pieces in which the program applies it, each in a turn of its
   * loop.
   */
  public static List<EndpointsUpdated> turns(EndpointsUpdated whole) {
    Queue<Runnable> turns = new ArrayDeque<>();
    List<EndpointsUpdated> pieces = new ArrayList<>();
    new EndpointUpdateDispatcher(
            turns::add, piece -> pieces.add(new EndpointsUpdated(piece.form(), piece.endpoints())))
        .dispatch(new EndpointUpdate(0, whole.form(), whole.endpoints()));
    while (!turns.isEmpty()) {
      turns.poll().run();
    }
    return pieces;
  }

  /** The line of one call to the counter, its end included. */
  public static String counterCall(IncrementCounter call) {
    return CounterLineCodec.encodeIncrement(call.counterName(), call.amount(), call.ttlMs());
  }
}
