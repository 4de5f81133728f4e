package quotagateway.counter;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import quotagateway.config.ResourceLimits;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.Status;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeriodicTask;

/**
 * Client of the shared counter, which pipelines its calls on a fixed number of connections. A call
 * uses the connection with the fewest pending replies, so that a slow part of the counter delays
 * only the calls that were already sent on that connection. While a call for a counter name is
 * open, further calls for that name use the same connection and so stay in order. Not thread-safe:
 * belongs to its event loop.
 */
public final class CounterClient {

  /** Number of connections to the configured address. */
  public static final int CONNECTION_COUNT = ResourceLimits.COUNTER_CONNECTIONS;

  /**
   * Connect timeout for the dialer that is passed to the client. A connection that is not
   * established by then is dialed again.
   */
  public static final double CONNECT_TIMEOUT_MS = 250;

  /**
   * Limits the pending replies of a connection, and so the memory that calls to a silent counter
   * occupy. Further calls on that connection fail immediately.
   */
  private static final int MAX_PENDING_REPLIES = 256;

  /** Interval of the checks for silent and idle connections. */
  private static final long LIVENESS_CHECK_INTERVAL_MS = 100;

  /**
   * Silence timeout of a connection with pending replies, as a multiple of the call timeout. It is
   * much longer than one call timeout, so that slow replies alone do not close the connection.
   */
  private static final double SILENCE_TIMEOUT_FACTOR = 12;

  /**
   * Time after an address change until the connections to the old address are closed. The counter
   * at the old address closes them itself after 1.5 s; the gateway does so earlier, and calls whose
   * replies are still pending fail.
   */
  private static final long RETIREMENT_DELAY_MS = 1_300;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final double callTimeoutMs;
  private final Consumer<CounterReplied> listener;
  private final Dialer dialer;
  private final CounterCallTimeouts timeouts;
  private final CounterConnection.Owner connectionOwner = new ConnectionOwner();
  private final List<CounterConnection> connections = new ArrayList<>(CONNECTION_COUNT);

  /** Connections to the old address, used until a connection to the new address is established. */
  private final List<CounterConnection> retiringConnections = new ArrayList<>(0);

  /** The most recent open call for each counter name. */
  private final Map<String, CounterCall> lastCallsByName = new HashMap<>();

  /** Null if the deployment has no counter. */
  private InetSocketAddress address;

  /**
   * Creates a client that is not started yet.
   *
   * @param loop runs the client
   * @param clock measures the duration of calls
   * @param dialer opens connections
   * @param address the counter's address; if null, all calls fail
   * @param callTimeoutMs longest duration of a call, in milliseconds
   * @param listener receives the result of each call exactly once
   */
  public CounterClient(
      EventLoop loop,
      MonotonicClock clock,
      Dialer dialer,
      InetSocketAddress address,
      double callTimeoutMs,
      Consumer<CounterReplied> listener) {
    this.loop = loop;
    this.clock = clock;
    this.dialer = dialer;
    this.address = address;
    this.callTimeoutMs = callTimeoutMs;
    this.listener = listener;
    timeouts =
        new CounterCallTimeouts(
            loop, clock, callTimeoutMs, call -> onCallCompleted(call, Status.TIMED_OUT, 0));
  }

  /** Opens the connections if an address is configured, and starts the periodic liveness checks. */
  public void start() {
    if (address != null) {
      connect();
    }
    PeriodicTask.schedule(loop, LIVENESS_CHECK_INTERVAL_MS, this::checkConnections);
  }

  private void connect() {
    for (int i = 0; i < CONNECTION_COUNT; i++) {
      CounterConnection connection =
          new CounterConnection(
              loop,
              clock,
              dialer,
              address,
              SILENCE_TIMEOUT_FACTOR * callTimeoutMs,
              connectionOwner);
      connections.add(connection);
      connection.connect();
    }
  }

  private void checkConnections() {
    double now = clock.now();
    PeriodicTask.forEachIsolated(connections, connection -> connection.checkLiveness(now));
  }

  /**
   * Connects to another address. Connections to the old address stay open for a limited time, so
   * that their pending replies can still arrive.
   *
   * @param newAddress the address; null changes nothing
   */
  public void changeAddress(InetSocketAddress newAddress) {
    if (newAddress == null || newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    PeriodicTask.forEachIsolated(retiringConnections, CounterConnection::close);
    retiringConnections.addAll(connections);
    connections.clear();
    connect();
    List<CounterConnection> oldConnections = List.copyOf(retiringConnections);
    loop.schedule(
        () -> PeriodicTask.forEachIsolated(oldConnections, CounterConnection::close),
        RETIREMENT_DELAY_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Adds an amount to a named counter. If no connection can accept the call, its failure is
   * reported before this method returns.
   *
   * @param counterName the counter's name
   * @param amount the amount to add; may be negative
   * @param ttlMs lifetime of the counter if this call creates it, in milliseconds
   */
  public void increment(String counterName, double amount, double ttlMs) {
    double startedAtMs = clock.now();
    CounterConnection connection = connectionFor(counterName);
    if (!canAcceptCall(connection)) {
      listener.accept(new CounterReplied(counterName, Status.CONNECT_FAILED, 0, 0));
      return;
    }
    CounterCall call = CounterCall.increment(counterName, startedAtMs, connection);
    lastCallsByName.put(counterName, call);
    timeouts.add(call);
    connection.send(call, CounterLineCodec.encodeIncrement(counterName, amount, ttlMs));
  }

  /**
   * Returns the connection of the open calls for a name, or else the least busy one; null if none
   * is open.
   */
  private CounterConnection connectionFor(String counterName) {
    CounterCall lastCall = lastCallsByName.get(counterName);
    if (lastCall != null) {
      return lastCall.connection();
    }
    CounterConnection leastBusyConnection = findLeastBusy(connections);
    return leastBusyConnection != null ? leastBusyConnection : findLeastBusy(retiringConnections);
  }

  private static CounterConnection findLeastBusy(List<CounterConnection> candidates) {
    CounterConnection leastBusyConnection = null;
    for (CounterConnection candidate : candidates) {
      if (!candidate.isOpen()) {
        continue;
      }
      if (leastBusyConnection == null
          || candidate.pendingReplyCount() < leastBusyConnection.pendingReplyCount()) {
        leastBusyConnection = candidate;
      }
    }
    return leastBusyConnection;
  }

  private static boolean canAcceptCall(CounterConnection connection) {
    return connection != null
        && connection.isOpen()
        && connection.pendingReplyCount() < MAX_PENDING_REPLIES;
  }

  private void onCallCompleted(CounterCall call, Status status, double total) {
    if (!call.tryComplete() || call.isPing()) {
      return;
    }
    lastCallsByName.remove(call.counterName(), call);
    double latencyMs = clock.now() - call.startedAtMs();
    listener.accept(new CounterReplied(call.counterName(), status, total, latencyMs));
  }

  /** Handles the events of the client's connections. */
  private final class ConnectionOwner implements CounterConnection.Owner {

    @Override
    public boolean isInUse(CounterConnection connection) {
      return connections.contains(connection);
    }

    @Override
    public void onClosed(CounterConnection connection) {
      retiringConnections.remove(connection);
    }

    @Override
    public void onCallCompleted(CounterCall call, Status status, double total) {
      CounterClient.this.onCallCompleted(call, status, total);
    }
  }
}
