package quotagateway.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import quotagateway.endpoint.Endpoint;
import quotagateway.transport.BackendAddress;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeriodicTask;

/**
 * The connections to one backend: the idle ones, and the attempts that wait for one to come up. On
 * the event loop's thread; times are in milliseconds on the gateway's clock.
 */
final class BackendConnections implements BackendConnection.Owner {

  /**
   * A connection is used again only when it has been quiet for this long after a response. Prevents
   * a second copy of a response just behind the first from being taken for the next one's: nothing
   * but the moment of its coming distinguishes them.
   */
  private static final double SETTLE_MS = 4;

  /**
   * For how long no connection is used again after the backend has sent more than its responses.
   * What it sends in excess may come later than {@link #SETTLE_MS}, behind the next request, and
   * then nothing distinguishes it from that request's response.
   */
  private static final double REUSE_SUSPENSION_MS = 10_000;

  private final MonotonicClock clock;
  private final IdleConnectionReuse reuse;
  private InetSocketAddress address;
  private long listedAddress;
  private double startedMs;

  /** When the backend last sent more than its responses; negative infinity if it never did. */
  private double excessAtMs = Double.NEGATIVE_INFINITY;

  /** Whether it drains or has left the endpoint list. */
  private boolean removed;

  /** Connections that are open or coming up. */
  private int openCount;

  /** The last one in was used last, and is used next: the others grow old and are retired. */
  private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();

  private final Set<Attempt> connecting = new HashSet<>();

  /**
   * @param listedAddress as the endpoint list has it
   * @param startedMs when the backend started, as it is assumed to have when this entry is made
   */
  BackendConnections(
      MonotonicClock clock, IdleConnectionReuse reuse, long listedAddress, double startedMs) {
    this.clock = clock;
    this.reuse = reuse;
    this.listedAddress = listedAddress;
    this.startedMs = startedMs;
    address = BackendAddress.decode(listedAddress);
  }

  InetSocketAddress address() {
    return address;
  }

  /** Whether the backend has moved or started again since this entry was made. */
  boolean differsFrom(Endpoint endpoint) {
    return endpoint.address() != listedAddress || endpoint.startedMs() != startedMs;
  }

  /** The backend is at another address from now on, or has started again. */
  void moveTo(Endpoint endpoint) {
    listedAddress = endpoint.address();
    address = BackendAddress.decode(endpoint.address());
    startedMs = endpoint.startedMs();
  }

  /** The backend takes no further attempts. */
  void markRemoved() {
    removed = true;
  }

  /** Closes idle connections, and gives the attempts that wait for one to the list. */
  void releaseUnused(List<Attempt> unsent) {
    PeriodicTask.forEachIsolated(idle, BackendConnection::close);
    unsent.addAll(connecting);
  }

  void connectionOpening(Attempt attempt) {
    openCount++;
    connecting.add(attempt);
  }

  void connectingEnded(Attempt attempt) {
    connecting.remove(attempt);
  }

  void connectionGone() {
    openCount--;
  }

  /** Whether nothing would be lost if this entry were made anew for the next attempt. */
  boolean isDiscardable() {
    return openCount == 0 && !isReuseSuspended();
  }

  private boolean isReuseSuspended() {
    return clock.now() - excessAtMs < REUSE_SUSPENSION_MS;
  }

  /**
   * Takes the connection used last, if it has settled. Those that the backend may be closing are
   * closed on the way.
   *
   * @param maxIdleMs after which the backend may be closing it
   * @return null where there is none, or where the attempt must not be repeated and the connection
   *     may be dead
   */
  BackendConnection takeIdle(Attempt attempt, double maxIdleMs) {
    double now = clock.now();
    Iterator<BackendConnection> newestFirst = idle.descendingIterator();
    while (newestFirst.hasNext()) {
      BackendConnection connection = newestFirst.next();
      if (connection.idleSinceMs() >= now - SETTLE_MS) {
        continue;
      }
      double idleMs = now - connection.idleSinceMs();
      if (attempt.mustNotRepeat() && !reuse.allows(idleMs)) {
        return null;
      }
      newestFirst.remove();
      connection.markUsed(now);
      if (connection.idleSinceMs() >= now - maxIdleMs && connection.isUsable()) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  /** Closes those that have been idle since before that time. */
  void closeIdleSinceBefore(double timeMs) {
    while (!idle.isEmpty() && idle.peekFirst().idleSinceMs() < timeMs) {
      idle.pollFirst().close();
    }
  }

  /** Closes the connection that has been idle longest; false if none is idle. */
  boolean closeOldestIdle() {
    BackendConnection oldest = idle.pollFirst();
    if (oldest == null) {
      return false;
    }
    oldest.close();
    return true;
  }

  @Override
  public void connectionReusable(BackendConnection connection) {
    if (!removed && !isReuseSuspended() && address.equals(connection.address())) {
      connection.markIdle();
      idle.addLast(connection);
    } else {
      connection.close();
    }
  }

  /** Closes idle connections too: the same may be on its way on them. */
  @Override
  public void excessReceived() {
    excessAtMs = clock.now();
    PeriodicTask.forEachIsolated(idle, BackendConnection::close);
  }

  @Override
  public void connectionClosed(BackendConnection connection) {
    idle.remove(connection);
  }
}
