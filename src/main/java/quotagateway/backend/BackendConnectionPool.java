package quotagateway.backend;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.endpoint.ServingEndpoints;
import quotagateway.policy.event.Status;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;
import quotagateway.transport.PeriodicTask;

/**
 * Pool of the connections to all backends, on which attempts are started. The pool neither selects
 * backends nor retries requests. Confined to the event loop's thread, except for {@link
 * #hasServingBackend}. Times are in milliseconds on the gateway's clock.
 */
public final class BackendConnectionPool {

  /**
   * Maximum idle time as a fraction of the backends' idle timeout, so that the gateway closes an
   * idle connection well before the backend does.
   */
  private static final double MAX_IDLE_FRACTION = 0.6;

  /** Interval of the checks for expired idle connections; short compared to the idle timeout. */
  private static final long IDLE_CHECK_INTERVAL_MS = 500;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final double maxIdleMs;
  private final ConnectionBudget budget;
  private final ServingEndpoints endpoints;
  private final IdleConnectionReuse reuse = new IdleConnectionReuse();
  private final BackendConnector connector;

  /**
   * Entries of the backends in use, by identifier. For any other backend, an entry is created from
   * the endpoint list at the next attempt.
   */
  private final Map<Long, BackendConnections> backends = new HashMap<>();

  /** Also read by the admin server's thread. */
  private volatile boolean hasServingBackend;

  /**
   * Creates a pool without connections.
   *
   * @param loop the event loop that runs the pool and its connections
   * @param backendIdleTimeoutMs the time after which the backends close an idle connection
   * @param budget limits connections to backends and from clients together
   * @param memory limits what responses hold, together with the clients' side
   * @param endpoints the addresses of the serving backends; updated before this pool is notified
   */
  public BackendConnectionPool(
      EventLoop loop,
      MonotonicClock clock,
      Dialer dialer,
      double backendIdleTimeoutMs,
      ConnectionBudget budget,
      PeerMemory memory,
      ServingEndpoints endpoints) {
    this.loop = loop;
    this.clock = clock;
    this.maxIdleMs = backendIdleTimeoutMs * MAX_IDLE_FRACTION;
    this.budget = budget;
    this.endpoints = endpoints;
    connector = new BackendConnector(clock, dialer, budget, memory, reuse);
    PeriodicTask.schedule(loop, IDLE_CHECK_INTERVAL_MS, this::closeExpiredIdle);
  }

  /**
   * Applies an update that the endpoint list already contains. If a backend is draining or removed,
   * or has moved or restarted, the pool closes its idle connections, and attempts that wait for a
   * connection to it end as not sent. Otherwise requests could reach a different server at the old
   * address, or be written to a backend that is already draining.
   */
  public void onEndpointsUpdated(EndpointUpdate update) {
    List<BackendConnections> outdated = new ArrayList<>();
    update.endpoints().forEach(endpoint -> applyEndpoint(endpoint, outdated));
    if (update.isSnapshot()) {
      List.copyOf(backends.keySet()).stream()
          .filter(id -> endpoints.address(id) == Endpoint.NO_ADDRESS)
          .forEach(id -> remove(id, outdated));
    }
    hasServingBackend = endpoints.hasServingEndpoint();
    // Last, because the policy may start a new attempt on any backend as soon as one is abandoned.
    List<Attempt> unsent = new ArrayList<>();
    outdated.forEach(backend -> backend.closeIdleAndCollectWaiting(unsent));
    PeriodicTask.forEachIsolated(unsent, attempt -> attempt.abandon(Status.NOT_SENT));
  }

  private void applyEndpoint(Endpoint endpoint, List<BackendConnections> outdated) {
    BackendConnections backend = backends.get(endpoint.id());
    if (backend == null) {
      return;
    }
    if (endpoint.state() != EndpointState.SERVING) {
      remove(endpoint.id(), outdated);
    } else if (backend.differsFrom(endpoint)) {
      outdated.add(backend);
      backend.updateFrom(endpoint);
    }
  }

  private void remove(long id, List<BackendConnections> outdated) {
    BackendConnections backend = backends.remove(id);
    if (backend != null) {
      backend.markRemoved();
      outdated.add(backend);
    }
  }

  /** Returns whether any backend is serving. May be called on any thread. */
  public boolean hasServingBackend() {
    return hasServingBackend;
  }

  /**
   * Sets the deadline of an attempt, at which it ends.
   *
   * @param timeoutMs infinite if the timeout is not known yet; no timer is started in that case
   */
  public void scheduleTimeout(Attempt attempt, double timeoutMs) {
    if (timeoutMs < Double.POSITIVE_INFINITY) {
      attempt.setDeadline(
          clock.now() + timeoutMs,
          loop.schedule(
              attempt::onTimeout, Math.max(0, (long) (timeoutMs * 1000)), TimeUnit.MICROSECONDS));
    }
  }

  /** Abandons an attempt unless its last byte is written within the given time. */
  private void scheduleWriteTimeout(Attempt attempt, double maxWriteMs) {
    if (maxWriteMs < Double.POSITIVE_INFINITY) {
      loop.schedule(
          () -> {
            if (!attempt.isWritten()) {
              attempt.abandon(attempt.statusIfTimedOut());
            }
          },
          (long) (maxWriteMs * 1000),
          TimeUnit.MICROSECONDS);
    }
  }

  /**
   * Starts an attempt on an idle connection, or on a new one.
   *
   * @param id the backend's identifier
   * @param maxWriteMs the time within which the last byte of the request has to be written, or else
   *     the attempt ends; infinite for no limit
   */
  public void start(long id, Attempt attempt, double maxWriteMs) {
    BackendConnections backend = connectionsTo(id);
    if (backend == null || maxWriteMs <= 0 || attempt.timeoutMs() <= 0) {
      attempt.end(Status.NOT_SENT, null);
      return;
    }
    attempt.setBackendAddress(backend.address());
    if (!attempt.endUnlessWanted()) {
      return;
    }
    attempt.setWriteDeadline(clock.now() + maxWriteMs);
    scheduleTimeout(attempt, attempt.timeoutMs());
    scheduleWriteTimeout(attempt, maxWriteMs);
    BackendConnection connection = backend.takeIdle(attempt, maxIdleMs);
    if (connection != null) {
      connection.send(attempt);
    } else if (!budget.hasRoomForBackendConnection() && !closeOneIdle()) {
      attempt.end(Status.NOT_SENT, null);
    } else {
      connector.connect(backend, attempt);
    }
  }

  /** Returns the backend's entry, created if there is none, or null if it is not serving. */
  private BackendConnections connectionsTo(long id) {
    BackendConnections existing = backends.get(id);
    if (existing != null) {
      return existing;
    }
    long address = endpoints.address(id);
    if (address == Endpoint.NO_ADDRESS) {
      return null;
    }
    BackendConnections backend =
        new BackendConnections(clock, reuse, budget, address, endpoints.startedMs(id));
    backends.put(id, backend);
    return backend;
  }

  /** Closes idle connections as long as the connection budget is exceeded. */
  public void closeIdleOverBudget() {
    boolean closed = true;
    while (closed && budget.isExceeded()) {
      closed = closeOneIdle();
    }
  }

  private void closeExpiredIdle() {
    double idleSinceLimitMs = clock.now() - maxIdleMs;
    backends.values().forEach(backend -> backend.closeIdleSinceBefore(idleSinceLimitMs));
    backends.values().removeIf(BackendConnections::isDiscardable);
  }

  /**
   * Closes one idle connection to make room for a new one.
   *
   * @return false if no connection is idle
   */
  private boolean closeOneIdle() {
    for (BackendConnections backend : backends.values()) {
      if (backend.closeOldestIdle()) {
        return true;
      }
    }
    return false;
  }
}
