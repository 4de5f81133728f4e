package quotagateway.client;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.PeriodicTask;

/**
 * The open connections of clients, within the connection budget: which is ended when there are too
 * many, and which are overdue. On the event loop's thread.
 */
final class ClientConnections {

  /**
   * The budget may be exceeded by one in so many connections: those still get a 503, further ones
   * are closed at once.
   */
  private static final int EXCESS_DIVISOR = 16;

  /** With so much of the budget taken, connections end with their responses. */
  private static final double CROWDED_SHARE = 0.75;

  /** How often connections are checked for time limits: well under the shortest of them. */
  private static final long CHECK_INTERVAL_MS = 200;

  private final ClientContext context;
  private final ConnectionBudget budget;

  /** In the order of their opening. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  ClientConnections(EventLoop loop, ClientContext context, ConnectionBudget budget) {
    this.context = context;
    this.budget = budget;
    PeriodicTask.schedule(loop, CHECK_INTERVAL_MS, this::closeOverdue);
  }

  /**
   * Counts a new connection, and evicts an idle one where there are too many. Prevents idle clients
   * from taking all descriptors: then no connection to a backend, to the counter or to discovery
   * comes up, and the process may fail. Cost: an idle client has to connect again.
   *
   * @return true when the new one exceeds the budget: its first request is rejected, and it ends
   */
  boolean opened(ClientConnection connection) {
    connections.add(connection);
    budget.addClientConnections(1);
    int max = budget.maxClientConnections();
    if (budget.clientConnections() > max) {
      evictOldestIdle();
    }
    if (budget.clientConnections() > max + max / EXCESS_DIVISOR) {
      connection.closer().closeIfIdle();
    }
    return budget.clientConnections() > max;
  }

  void closed(ClientConnection connection) {
    if (connections.remove(connection)) {
      budget.addClientConnections(-1);
    }
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** Whether a kept connection is likely one that another client lacks. */
  boolean crowded() {
    return budget.clientConnections() > CROWDED_SHARE * budget.maxClientConnections();
  }

  /** Closes the connection that has been idle longest, if one may be closed for another's sake. */
  private void evictOldestIdle() {
    double now = context.now();
    ClientConnection oldest = null;
    for (ClientConnection candidate : connections) {
      if (candidate.timeouts().evictable(now)
          && (oldest == null
              || candidate.timeouts().idleSinceMs() < oldest.timeouts().idleSinceMs())) {
        oldest = candidate;
      }
    }
    if (oldest != null) {
      oldest.closer().closeForAnother();
    }
  }

  private void closeOverdue() {
    double now = context.now();
    PeriodicTask.forEachIsolated(
        connections, connection -> connection.timeouts().closeIfOverdue(now));
  }

  /** Ends each connection; one with part of a request gets an error first. */
  void closeAllForShutdown() {
    PeriodicTask.forEachIsolated(connections, connection -> connection.closer().closeForShutdown());
  }
}
