package quotagateway.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import quotagateway.endpoint.Endpoint;
import quotagateway.transport.BackendAddress;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeriodicTask;

/**
 * The idle connections to one backend, and the attempts that wait for a new connection to it.
 * Confined to the event loop's thread. Times are in milliseconds on the gateway's clock.
 */
final class BackendConnections implements BackendConnection.Owner {

  /**
   * Minimum idle time after a response before a connection is reused. A second copy of a response,
   * which may come some milliseconds after the first, would otherwise be treated as the response to
   * the next request, because only its time of arrival distinguishes the two.
   */
  private static final double MIN_IDLE_BEFORE_REUSE_MS = 15;

  /**
   * Time during which no connection is reused after the backend has sent unsolicited data. Further
   * unsolicited data may arrive later than {@link #MIN_IDLE_BEFORE_REUSE_MS}, after the next
   * request, and then cannot be distinguished from that request's response.
   */
  private static final double REUSE_SUSPENSION_MS = 10_000;

  private final MonotonicClock clock;
  private final IdleConnectionReuse reuse;
  private final ConnectionBudget budget;
  private InetSocketAddress address;
  private long listedAddress;
  private double startedMs;

  /** Time at which the backend last sent unsolicited data; negative infinity if it never did. */
  private double lastUnsolicitedDataMs = Double.NEGATIVE_INFINITY;

  /** Whether the backend is draining or is no longer in the endpoint list. */
  private boolean removed;

  /** Number of connections that are open or being opened. */
  private int openCount;

  /**
   * Idle connections, the most recently used one last. That one is reused first, so that surplus
   * connections expire.
   */
  private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();

  private final Set<Attempt> waitingForConnection = new HashSet<>();

  /**
   * Creates an entry without connections.
   *
   * @param budget counts which connections are idle
   * @param listedAddress the encoded address in the endpoint list
   * @param startedMs the time at which the backend is assumed to have started
   */
  BackendConnections(
      MonotonicClock clock,
      IdleConnectionReuse reuse,
      ConnectionBudget budget,
      long listedAddress,
      double startedMs) {
    this.clock = clock;
    this.reuse = reuse;
    this.budget = budget;
    this.listedAddress = listedAddress;
    this.startedMs = startedMs;
    address = BackendAddress.decode(listedAddress);
  }

  InetSocketAddress address() {
    return address;
  }

  /** Returns whether the backend's address or start time differs from the ones known here. */
  boolean differsFrom(Endpoint endpoint) {
    return endpoint.address() != listedAddress || endpoint.startedMs() != startedMs;
  }

  /** Adopts the new address and start time of a backend that has moved or restarted. */
  void updateFrom(Endpoint endpoint) {
    listedAddress = endpoint.address();
    address = BackendAddress.decode(endpoint.address());
    startedMs = endpoint.startedMs();
  }

  /** Stops the reuse of connections to a backend that is draining or removed. */
  void markRemoved() {
    removed = true;
  }

  /** Closes idle connections, and adds the attempts that wait for a connection to the list. */
  void closeIdleAndCollectWaiting(List<Attempt> unsent) {
    PeriodicTask.forEachIsolated(idle, BackendConnection::close);
    unsent.addAll(waitingForConnection);
  }

  void connectStarted(Attempt attempt) {
    openCount++;
    waitingForConnection.add(attempt);
  }

  void connectFinished(Attempt attempt) {
    waitingForConnection.remove(attempt);
  }

  void connectionReleased() {
    openCount--;
  }

  /** Returns whether this entry holds no state that would be lost by creating it again. */
  boolean isDiscardable() {
    return openCount == 0 && !isReuseSuspended();
  }

  private boolean isReuseSuspended() {
    return clock.now() - lastUnsolicitedDataMs < REUSE_SUSPENSION_MS;
  }

  /**
   * Takes the most recently used connection that has been idle for more than {@link
   * #MIN_IDLE_BEFORE_REUSE_MS}. Closes the connections it encounters that are unusable or have been
   * idle for too long.
   *
   * @param maxIdleMs the maximum idle time, after which the backend may be closing the connection
   * @return null if there is no such connection, or if the request must not be executed twice and
   *     the connection may be dead
   */
  BackendConnection takeIdle(Attempt attempt, double maxIdleMs) {
    double now = clock.now();
    Iterator<BackendConnection> newestFirst = idle.descendingIterator();
    while (newestFirst.hasNext()) {
      BackendConnection connection = newestFirst.next();
      if (connection.idleSinceMs() >= now - MIN_IDLE_BEFORE_REUSE_MS) {
        continue;
      }
      double idleMs = now - connection.idleSinceMs();
      if (attempt.isNonIdempotent() && !reuse.allowsReuseAfter(idleMs)) {
        return null;
      }
      newestFirst.remove();
      budget.addIdleBackendConnections(-1);
      connection.markReused(now);
      if (connection.idleSinceMs() >= now - maxIdleMs && connection.isUsable()) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  /** Closes connections that became idle before the given time. */
  void closeIdleSinceBefore(double timeMs) {
    while (!idle.isEmpty() && idle.peekFirst().idleSinceMs() < timeMs) {
      closeOldestIdle();
    }
  }

  /**
   * Closes the connection that has been idle longest.
   *
   * @return false if no connection is idle
   */
  boolean closeOldestIdle() {
    BackendConnection oldest = idle.pollFirst();
    if (oldest == null) {
      return false;
    }
    budget.addIdleBackendConnections(-1);
    oldest.close();
    return true;
  }

  @Override
  public void connectionReusable(BackendConnection connection) {
    if (!removed && !isReuseSuspended() && address.equals(connection.address())) {
      connection.markIdle();
      idle.addLast(connection);
      budget.addIdleBackendConnections(1);
    } else {
      connection.close();
    }
  }

  /**
   * Suspends reuse, and closes idle connections because unsolicited data may be on its way on them
   * too.
   */
  @Override
  public void unsolicitedDataReceived() {
    lastUnsolicitedDataMs = clock.now();
    PeriodicTask.forEachIsolated(idle, BackendConnection::close);
  }

  @Override
  public void connectionClosed(BackendConnection connection) {
    if (idle.remove(connection)) {
      budget.addIdleBackendConnections(-1);
    }
  }
}
