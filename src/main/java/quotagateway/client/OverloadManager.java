package quotagateway.client;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.logging.Logger;

/**
 * Ends unfinished work while the heap is exhausted, so that the virtual machine does not end the
 * process with all requests. Those who hold most are ended first. Requests that no attempt has been
 * started for come before open ones. Confined to the event loop's thread.
 */
final class OverloadManager {

  private static final Logger LOG = Logger.getLogger(OverloadManager.class.getName());

  private final ClientContext context;
  private final Collection<ClientConnection> connections;

  /**
   * Creates a manager.
   *
   * @param connections a live view of the open connections
   */
  OverloadManager(ClientContext context, Collection<ClientConnection> connections) {
    this.context = context;
    this.connections = connections;
  }

  /** Checks the heap, and ends as much work as should be freed. */
  void checkHeap() {
    long excessBytes = context.heapWatch().check(context.now());
    if (excessBytes > 0) {
      shed(excessBytes);
    }
  }

  private void shed(long excessBytes) {
    List<ClientConnection> largestFirst = new ArrayList<>(connections);
    largestFirst.sort(
        Comparator.comparingInt((ClientConnection c) -> c.memory().heldBytes()).reversed());
    long freedBytes = end(largestFirst, excessBytes, OverloadManager::dropUnstarted);
    freedBytes += end(largestFirst, excessBytes - freedBytes, OverloadManager::endOpenRequest);
    LOG.warning("heap exhausted excess_bytes=" + excessBytes + " freed_bytes=" + freedBytes);
  }

  /** Ends work of the connections in turn until enough has been freed; returns how much was. */
  private static long end(
      List<ClientConnection> largestFirst,
      long excessBytes,
      ToIntFunction<ClientConnection> endWork) {
    long freedBytes = 0;
    for (ClientConnection connection : largestFirst) {
      if (freedBytes >= excessBytes) {
        break;
      }
      if (connection.memory().heldBytes() > 0) {
        freedBytes += endWork.applyAsInt(connection);
      }
    }
    return freedBytes;
  }

  private static int dropUnstarted(ClientConnection connection) {
    int heldBytes = connection.memory().heldBytes();
    connection.dropUnstartedRequests();
    return heldBytes - connection.memory().heldBytes();
  }

  /** Ends an open request; one with an attempt in flight is freed with the attempt's end. */
  private static int endOpenRequest(ClientConnection connection) {
    int heldBytes = connection.memory().heldBytes();
    connection.endOpenRequest();
    return heldBytes;
  }
}
