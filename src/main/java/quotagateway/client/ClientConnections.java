package quotagateway.client;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import quotagateway.transport.AcceptThrottle;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.PeriodicTask;

/**
 * The open client connections within the connection budget. Evicts a connection when there are too
 * many, and closes those whose time limits have passed. Confined to the event loop's thread.
 */
final class ClientConnections {

  /**
   * Denominator of the share by which the budget may be exceeded. Connections within the excess
   * still get a 503; further ones are closed immediately.
   */
  private static final int EXCESS_DIVISOR = 16;

  /** Share of the budget above which connections are closed after their responses. */
  private static final double CROWDED_SHARE = 0.75;

  /** Interval of the time limit checks, well under the shortest time limit. */
  private static final long CHECK_INTERVAL_MS = 200;

  private final ClientContext context;
  private final ConnectionBudget budget;
  private final AcceptThrottle acceptThrottle;
  private final OverloadManager overload;

  /** Ordered by the time of opening. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  ClientConnections(
      EventLoop loop,
      ClientContext context,
      ConnectionBudget budget,
      AcceptThrottle acceptThrottle) {
    this.acceptThrottle = acceptThrottle;
    this.context = context;
    this.budget = budget;
    overload = new OverloadManager(context, connections);
    PeriodicTask.schedule(loop, CHECK_INTERVAL_MS, this::closeOverdue);
  }

  /**
   * Counts a new connection, and evicts an idle one if there are too many: first those to backends,
   * which no one notices, then those of clients. Without this, idle clients could take all
   * descriptors: no connection to a backend, to the counter or to discovery could be opened, and
   * the process might fail. The drawback is that an evicted client has to reconnect.
   *
   * @return true if the new connection exceeds the budget: its first request is rejected, and the
   *     connection is closed
   */
  boolean onOpened(ClientConnection connection) {
    connections.add(connection);
    budget.addClientConnections(1);
    context.backends().closeIdleOverBudget();
    if (isOverBudget()) {
      evictLongestIdle();
    }
    makeRoom(0);
    if (!hasRoom(0)) {
      connection.closer().closeIfIdle(CloseReason.MAKE_ROOM);
    }
    pauseAcceptingIfFull();
    return isOverBudget();
  }

  private boolean isOverBudget() {
    return budget.clientConnections() > budget.maxClientConnections();
  }

  /** Returns whether the budget and its excess allow more connections than there are now. */
  private boolean hasRoom(int additional) {
    int max = budget.maxClientConnections();
    return budget.clientConnections() + additional <= max + max / EXCESS_DIVISOR;
  }

  private void makeRoom(int additional) {
    boolean closed = true;
    while (closed && !hasRoom(additional)) {
      closed = closeLongestSilentLinger();
    }
  }

  /**
   * Leaves the next clients in the kernel's queue for the short time after which a lingering
   * connection may be closed for them. Without this, they would be closed unread.
   */
  private void pauseAcceptingIfFull() {
    if (hasRoom(1)) {
      return;
    }
    double nextEndMs =
        connections.stream()
            .mapToDouble(connection -> connection.closer().lingerMayEndAtMs())
            .min()
            .orElse(Double.POSITIVE_INFINITY);
    if (nextEndMs < Double.POSITIVE_INFINITY) {
      long pauseMs = (long) Math.ceil(Math.max(0, nextEndMs - context.now()));
      acceptThrottle.pause(pauseMs, this::resumeAccepting);
    }
  }

  private void resumeAccepting() {
    makeRoom(1);
    acceptThrottle.resume();
  }

  void onClosed(ClientConnection connection) {
    if (connections.remove(connection)) {
      budget.addClientConnections(-1);
      if (acceptThrottle.isPaused() && hasRoom(1)) {
        acceptThrottle.resume();
      }
    }
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** Returns whether any client is owed a response or the rest of one. */
  boolean hasPendingResponses() {
    return connections.stream().anyMatch(ClientConnection::hasPendingResponse);
  }

  /** Returns whether a connection that is kept alive is likely to keep another client out. */
  boolean isCrowded() {
    return budget.clientConnections() > CROWDED_SHARE * budget.maxClientConnections();
  }

  /**
   * Closes the connection that has been idle longest, if any may be closed to make room for
   * another.
   */
  private void evictLongestIdle() {
    double now = context.now();
    ClientConnection longestIdle = null;
    for (ClientConnection candidate : connections) {
      if (candidate.timeouts().isEvictable(now)
          && (longestIdle == null
              || candidate.timeouts().idleSinceMs() < longestIdle.timeouts().idleSinceMs())) {
        longestIdle = candidate;
      }
    }
    if (longestIdle != null) {
      longestIdle.closer().closeToMakeRoom();
    }
  }

  /**
   * Closes the lingering connection whose client has been silent longest. Its response has been
   * sent, and its place lets a new client have one as well.
   *
   * @return false if there is none that may be closed
   */
  private boolean closeLongestSilentLinger() {
    double now = context.now();
    Optional<ClientConnection> longestSilent =
        connections.stream()
            .filter(candidate -> candidate.closer().lingerMayEndAtMs() <= now)
            .min(Comparator.comparingDouble(candidate -> candidate.closer().lingerMayEndAtMs()));
    longestSilent.ifPresent(
        lingering -> {
          lingering.closer().endLinger();
          onClosed(lingering);
        });
    return longestSilent.isPresent();
  }

  /** Called for each read, as what clients send may exhaust the heap. */
  void onBytesReceived() {
    overload.checkHeap();
  }

  private void closeOverdue() {
    overload.checkHeap();
    double now = context.now();
    PeriodicTask.forEachIsolated(
        connections, connection -> connection.timeouts().closeIfOverdue(now));
  }

  /**
   * Closes each connection without an open or queued request; the client of a partly received
   * request gets an error first.
   */
  void closeAllForShutdown() {
    PeriodicTask.forEachIsolated(connections, connection -> connection.closer().closeForShutdown());
  }
}
