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
 * Calls to the counter, pipelined on a few kept connections. A call goes to the connection that
 * owes the fewest replies, so that a slow part of the counter delays only the calls already behind
 * it; calls for one name stay in order, as they go to one connection while the last of them is
 * open. Not thread-safe: belongs to its event loop.
 */
public final class CounterClient {

  /** Connections to one address. */
  public static final int CONNECTIONS = ResourceLimits.COUNTER_CONNECTIONS;

  /** For the dialer of the connections: one that takes longer to come up is dialed again. */
  public static final double CONNECT_TIMEOUT_MS = 250;

  /**
   * Bounds the replies that one connection owes, and so the memory that a silent counter takes;
   * calls beyond that fail at once.
   */
  private static final int MAX_OWED_REPLIES = 256;

  /** How often connections are checked for silence and idleness. */
  private static final long LIVENESS_CHECK_INTERVAL_MS = 100;

  /**
   * A connection that owes a reply and is silent for so many call timeouts is taken for dead: slow
   * replies alone must not cost the connection.
   */
  private static final double SILENCE_TIMEOUT_PER_CALL_TIMEOUT = 12;

  /**
   * An address that is not configured any more closes its connections after 1.5 s; the gateway does
   * so before, and gives up the replies that they still owe.
   */
  private static final long RETIREMENT_MS = 1_300;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final double callTimeoutMs;
  private final Consumer<CounterReplied> listener;
  private final Dialer dialer;
  private final CounterCallTimeouts timeouts;
  private final CounterConnection.Owner connectionOwner = new ConnectionOwner();
  private final List<CounterConnection> connections = new ArrayList<>(CONNECTIONS);

  /** Connections to the address before, which are in use until one to the new address is up. */
  private final List<CounterConnection> retiring = new ArrayList<>(0);

  /** The last open call for each name. */
  private final Map<String, CounterCall> lastCalls = new HashMap<>();

  /** Null where the deployment has no counter. */
  private InetSocketAddress address;

  /**
   * Creates a client that has yet to be started.
   *
   * @param loop runs the client
   * @param clock measures the calls
   * @param dialer opens connections
   * @param address where the counter listens, or null: then all calls fail
   * @param callTimeoutMs how long a call may take, in milliseconds
   * @param listener gets the end of each call, each exactly once
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
            loop, clock, callTimeoutMs, call -> onCallEnded(call, Status.TIMED_OUT, 0));
  }

  /** Opens the connections. */
  public void start() {
    if (address != null) {
      connect();
    }
    PeriodicTask.schedule(loop, LIVENESS_CHECK_INTERVAL_MS, this::checkConnections);
  }

  private void connect() {
    for (int i = 0; i < CONNECTIONS; i++) {
      CounterConnection connection =
          new CounterConnection(
              loop,
              clock,
              dialer,
              address,
              SILENCE_TIMEOUT_PER_CALL_TIMEOUT * callTimeoutMs,
              connectionOwner);
      connections.add(connection);
      connection.connect();
    }
  }

  private void checkConnections() {
    double now = clock.now();
    PeriodicTask.forEachIsolated(connections, connection -> connection.checkAlive(now));
  }

  /**
   * Connects to another address; connections to the old one get a while for the replies that they
   * owe.
   *
   * @param newAddress the address; null changes nothing
   */
  public void changeAddress(InetSocketAddress newAddress) {
    if (newAddress == null || newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    PeriodicTask.forEachIsolated(retiring, CounterConnection::close);
    retiring.addAll(connections);
    connections.clear();
    connect();
    List<CounterConnection> old = List.copyOf(retiring);
    loop.schedule(
        () -> PeriodicTask.forEachIsolated(old, CounterConnection::close),
        RETIREMENT_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Adds to a named count. Where no connection can take the call, its end is reported before this
   * returns.
   *
   * @param counterName the name
   * @param amount what to add; may be negative
   * @param ttlMs how long a count that does not exist yet is kept, in milliseconds
   */
  public void increment(String counterName, double amount, double ttlMs) {
    double startedAtMs = clock.now();
    CounterConnection connection = connectionFor(counterName);
    if (!hasRoom(connection)) {
      listener.accept(new CounterReplied(counterName, Status.CONNECT_FAILED, 0, 0));
      return;
    }
    CounterCall call = CounterCall.increment(counterName, startedAtMs, connection);
    lastCalls.put(counterName, call);
    timeouts.add(call);
    connection.send(call, CounterLineCodec.encodeIncrement(counterName, amount, ttlMs));
  }

  /** The connection of the open calls for a name, or else the least busy one; null for none. */
  private CounterConnection connectionFor(String counterName) {
    CounterCall last = lastCalls.get(counterName);
    if (last != null) {
      return last.connection();
    }
    CounterConnection leastBusy = leastBusy(connections);
    return leastBusy != null ? leastBusy : leastBusy(retiring);
  }

  private static CounterConnection leastBusy(List<CounterConnection> candidates) {
    CounterConnection leastBusy = null;
    for (CounterConnection candidate : candidates) {
      if (!candidate.isOpen()) {
        continue;
      }
      if (leastBusy == null || candidate.owedReplies() < leastBusy.owedReplies()) {
        leastBusy = candidate;
      }
    }
    return leastBusy;
  }

  private static boolean hasRoom(CounterConnection connection) {
    return connection != null && connection.isOpen() && connection.owedReplies() < MAX_OWED_REPLIES;
  }

  private void onCallEnded(CounterCall call, Status status, double total) {
    if (!call.end() || call.isPing()) {
      return;
    }
    lastCalls.remove(call.counterName(), call);
    double latencyMs = clock.now() - call.startedAtMs();
    listener.accept(new CounterReplied(call.counterName(), status, total, latencyMs));
  }

  /** What the client does about events of its connections. */
  private final class ConnectionOwner implements CounterConnection.Owner {

    @Override
    public boolean isInUse(CounterConnection connection) {
      return connections.contains(connection);
    }

    @Override
    public void onClosed(CounterConnection connection) {
      retiring.remove(connection);
    }

    @Override
    public void onCallEnded(CounterCall call, Status status, double total) {
      CounterClient.this.onCallEnded(call, status, total);
    }
  }
}
