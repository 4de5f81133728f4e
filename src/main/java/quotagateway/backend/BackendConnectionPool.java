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
import quotagateway.transport.PeriodicTask;

/**
 * The connections to all backends, and the start of attempts on them. It chooses no backend and
 * retries nothing. On the event loop's thread, but for {@link #hasServingBackend}; times are in
 * milliseconds on the gateway's clock.
 */
public final class BackendConnectionPool {

  /**
   * An idle connection is retired at this share of the backends' own limit, well before they close
   * it.
   */
  private static final double MAX_IDLE_SHARE = 0.6;

  /** How often idle connections are checked for their age: small beside the backends' limit. */
  private static final long CHECK_INTERVAL_MS = 500;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final double maxIdleMs;
  private final ConnectionBudget budget;
  private final ServingEndpoints endpoints;
  private final IdleConnectionReuse reuse = new IdleConnectionReuse();
  private final BackendConnector connector;

  /**
   * Backends with connections, by identifier; of the others the endpoint list says the address when
   * it is needed.
   */
  private final Map<Long, BackendConnections> backends = new HashMap<>();

  /** Read by the admin server's thread too. */
  private volatile boolean hasServingBackend;

  /**
   * @param loop on which all of it runs
   * @param idleLimitMs after which the backends close an idle connection themselves
   * @param budget connections to backends and of clients together
   * @param endpoints of which backend is where; updated before this pool is
   */
  public BackendConnectionPool(
      EventLoop loop,
      MonotonicClock clock,
      Dialer dialer,
      double idleLimitMs,
      ConnectionBudget budget,
      ServingEndpoints endpoints) {
    this.loop = loop;
    this.clock = clock;
    this.maxIdleMs = idleLimitMs * MAX_IDLE_SHARE;
    this.budget = budget;
    this.endpoints = endpoints;
    connector = new BackendConnector(clock, dialer, budget, reuse);
    PeriodicTask.schedule(loop, CHECK_INTERVAL_MS, this::retireIdle);
  }

  /**
   * Follows the endpoint list, which has the update already. Where a backend drains or is gone, or
   * has moved or started again, its idle connections are closed, and attempts that wait for one end
   * as not sent. Prevents requests to whoever lives at its old address, and the breach of a drain
   * by an attempt that is written after it.
   */
  public void onEndpointsUpdated(EndpointUpdate update) {
    List<BackendConnections> outdated = new ArrayList<>();
    update.endpoints().forEach(endpoint -> follow(endpoint, outdated));
    if (update.isSnapshot()) {
      List.copyOf(backends.keySet()).stream()
          .filter(id -> endpoints.address(id) == Endpoint.NO_ADDRESS)
          .forEach(id -> remove(id, outdated));
    }
    hasServingBackend = endpoints.anyServing();
    // Only now, as what is given up may go to any backend of the list at once.
    List<Attempt> unsent = new ArrayList<>();
    outdated.forEach(backend -> backend.releaseUnused(unsent));
    PeriodicTask.forEachIsolated(unsent, attempt -> attempt.abandon(Status.NOT_SENT));
  }

  private void follow(Endpoint endpoint, List<BackendConnections> outdated) {
    BackendConnections backend = backends.get(endpoint.id());
    if (backend == null) {
      return;
    }
    if (endpoint.state() != EndpointState.SERVING) {
      remove(endpoint.id(), outdated);
    } else if (backend.differsFrom(endpoint)) {
      outdated.add(backend);
      backend.moveTo(endpoint);
    }
  }

  private void remove(long id, List<BackendConnections> outdated) {
    BackendConnections backend = backends.remove(id);
    if (backend != null) {
      backend.markRemoved();
      outdated.add(backend);
    }
  }

  /** Whether there is a backend to send requests to; on any thread. */
  public boolean hasServingBackend() {
    return hasServingBackend;
  }

  /**
   * Gives an attempt up after that time.
   *
   * @param timeoutMs infinite where that is not known yet
   */
  public void limitTime(Attempt attempt, double timeoutMs) {
    if (timeoutMs < Double.POSITIVE_INFINITY) {
      attempt.setTimer(
          loop.schedule(
              () -> attempt.abandon(attempt.statusIfTimedOut()),
              Math.max(0, (long) (timeoutMs * 1000)),
              TimeUnit.MICROSECONDS));
    }
  }

  /** Gives an attempt up that is not written whole by then: its last byte must not go out later. */
  private void limitWriteTime(Attempt attempt, double maxWriteMs) {
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
   * @param id of the backend
   * @param maxWriteMs the attempt ends unless its last byte is written within this; infinite where
   *     any time will do
   */
  public void start(long id, Attempt attempt, double maxWriteMs) {
    BackendConnections backend = serving(id);
    if (backend == null || maxWriteMs <= 0 || attempt.timeoutMs() <= 0) {
      attempt.end(Status.NOT_SENT, null);
      return;
    }
    if (!attempt.endUnlessWanted()) {
      return;
    }
    attempt.startTimes(clock.now(), maxWriteMs);
    limitTime(attempt, attempt.timeoutMs());
    limitWriteTime(attempt, maxWriteMs);
    BackendConnection connection = backend.takeIdle(attempt, maxIdleMs);
    if (connection != null) {
      connection.carry(attempt);
    } else if (!budget.hasRoomForBackendConnection() && !closeAnyIdle()) {
      attempt.end(Status.NOT_SENT, null);
    } else {
      connector.connect(backend, attempt);
    }
  }

  /** The backend with its connections, or null for one that does not serve. */
  private BackendConnections serving(long id) {
    BackendConnections known = backends.get(id);
    if (known != null) {
      return known;
    }
    long address = endpoints.address(id);
    if (address == Endpoint.NO_ADDRESS) {
      return null;
    }
    BackendConnections backend =
        new BackendConnections(clock, reuse, address, endpoints.startedMs(id));
    backends.put(id, backend);
    return backend;
  }

  private void retireIdle() {
    double oldestMs = clock.now() - maxIdleMs;
    backends.values().forEach(backend -> backend.closeIdleSinceBefore(oldestMs));
    backends.values().removeIf(BackendConnections::isDiscardable);
  }

  /** Makes room for a new connection; false where no idle one is to be had. */
  private boolean closeAnyIdle() {
    for (BackendConnections backend : backends.values()) {
      if (backend.closeOldestIdle()) {
        return true;
      }
    }
    return false;
  }
}
