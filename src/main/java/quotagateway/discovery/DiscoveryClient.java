package quotagateway.discovery;

import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;

/**
 * Keeps one watch of the endpoint list open, and replaces the watch when it ends or falls silent.
 * While no watch is established, the last endpoint list stays in use. Not thread-safe: belongs to
 * its event loop.
 *
 * <p>The gateway counts as notified of a change 6 s after discovery has the change and is
 * reachable, and 6 s after the watch that misses the change fell silent, even if further watches
 * fail in between. After a failure, the next watch starts within the following time:
 *
 * <ul>
 *   <li>300 ms, the longest backoff, after a watch was refused, closed, answered with an error or
 *       ended;
 *   <li>800 ms if the connection is not established: 500 ms and the backoff;
 *   <li>500 ms if the connection is established but no response arrives;
 *   <li>600 ms if the watch stops within a message: 300 ms and the backoff;
 *   <li>2,500 ms if the response begins but brings no data, or the watch falls silent;
 *   <li>3,000 ms after the fourth consecutive invalid list, and after each later one.
 * </ul>
 *
 * The backoff is limited, so these times hold regardless of how many watches failed before. For
 * example, a watch that falls silent, a second one that brings no data and a third one whose
 * connection is not established add up to 5,800 ms.
 */
public final class DiscoveryClient {

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());

  /**
   * Most bytes read from the socket in one turn of the event loop, enough for about thirty
   * endpoints. A longer list is read in several turns, so that requests are served in between.
   */
  private static final int MAX_READ_BYTES = 4 * 1024;

  /**
   * Most replaced watches that stay open, so that an agent is heard that takes several response
   * timeouts to answer each watch.
   */
  private static final int MAX_PREVIOUS_WATCHES = 6;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EndpointUpdateDispatcher dispatcher;
  private final Dialer dialer;
  private final int maxEndpoints;
  private final WatchBackoff backoff =
      new WatchBackoff(() -> ThreadLocalRandom.current().nextDouble());

  private final DiscoveryWatch.Owner watchOwner = new WatchOwner();

  /** The version of the endpoint list in use. */
  private long version;

  private DiscoveryWatch currentWatch;

  /**
   * The replaced watches, which fell silent or whose address is no longer configured, the oldest
   * first. The messages of each are used until a newer watch receives data.
   */
  private final ArrayDeque<DiscoveryWatch> previousWatches = new ArrayDeque<>();

  /**
   * Creates a client that is not started yet.
   *
   * @param loop runs the client
   * @param clock measures the duration of watches
   * @param dialer opens connections; see {@link #dialer}
   * @param agent the discovery agent's address
   * @param version the version of the endpoint list in use; the first watch requests the changes
   *     after that version
   * @param maxEndpoints most entries that an accepted list may have
   * @param listener receives discovery's messages in order, long ones in fragments
   */
  public DiscoveryClient(
      EventLoop loop,
      MonotonicClock clock,
      Dialer dialer,
      InetSocketAddress agent,
      long version,
      int maxEndpoints,
      Consumer<EndpointUpdate> listener) {
    this.loop = loop;
    this.clock = clock;
    this.dialer = dialer;
    this.version = version;
    this.maxEndpoints = maxEndpoints;
    dispatcher = new EndpointUpdateDispatcher(loop, listener);
    currentWatch = newWatch(agent);
  }

  /**
   * Returns a dialer for connections to discovery, whose connect timeout equals the response
   * timeout.
   */
  public static Dialer dialer(EventLoop loop) {
    FixedRecvByteBufAllocator recvAllocator = new FixedRecvByteBufAllocator(MAX_READ_BYTES);
    recvAllocator.maxMessagesPerRead(1);
    return Dialer.sockets(loop, DiscoveryWatch.RESPONSE_TIMEOUT_MS, recvAllocator);
  }

  /** Opens the first watch. */
  public void start() {
    currentWatch.connect();
  }

  /** Starts a watch at another address. Old watches stay open until the new one receives data. */
  public void changeAddress(InetSocketAddress agent) {
    if (!agent.equals(currentWatch.agent())) {
      backoff.reset();
      replaceCurrentWatch(agent);
    }
  }

  private DiscoveryWatch newWatch(InetSocketAddress agent) {
    return new DiscoveryWatch(loop, clock, dialer, agent, maxEndpoints, watchOwner);
  }

  private void replaceCurrentWatch(InetSocketAddress agent) {
    if (previousWatches.size() >= MAX_PREVIOUS_WATCHES) {
      previousWatches.removeFirst().close();
    }
    previousWatches.addLast(currentWatch);
    currentWatch = newWatch(agent);
    currentWatch.connect();
  }

  private void closeWatchesBefore(DiscoveryWatch watch) {
    while (!previousWatches.isEmpty() && previousWatches.peekFirst() != watch) {
      previousWatches.removeFirst().close();
    }
  }

  private void reopen(DiscoveryWatch endedWatch) {
    if (endedWatch == currentWatch) {
      currentWatch = newWatch(endedWatch.agent());
      currentWatch.connect();
    }
  }

  /** Handles the events of the client's watches. */
  private final class WatchOwner implements DiscoveryWatch.Owner {

    @Override
    public long version() {
      return version;
    }

    @Override
    public boolean isCurrent(DiscoveryWatch watch) {
      return watch == currentWatch;
    }

    @Override
    public boolean isInUse(DiscoveryWatch watch) {
      return watch == currentWatch || previousWatches.contains(watch);
    }

    @Override
    public void onData(DiscoveryWatch watch) {
      if (isInUse(watch)) {
        closeWatchesBefore(watch);
      }
    }

    @Override
    public void onEndpointUpdate(EndpointUpdate update) {
      // Without this check, the next watch could request the changes after a version that discovery
      // does not have, and discovery would refuse every such watch.
      if (update.version() > EndpointUpdate.NO_VERSION) {
        version = update.version();
        if (backoff.onValidList()) {
          LOG.info("endpoint list accepted again version=" + version);
        }
      }
      dispatcher.dispatch(update);
    }

    @Override
    public void onInvalidList(InvalidEndpointListException cause) {
      if (backoff.onInvalidList()) {
        LOG.warning(
            "endpoint list rejected version_in_use=" + version + " reason=" + cause.getMessage());
      }
    }

    @Override
    public void onSilent(DiscoveryWatch watch) {
      replaceCurrentWatch(watch.agent());
    }

    @Override
    public void onEnded(DiscoveryWatch watch) {
      if (watch != currentWatch || loop.isShuttingDown()) {
        return;
      }
      double delayMs = backoff.nextDelayMs(clock.now() - watch.createdAtMs());
      loop.schedule(() -> reopen(watch), (long) delayMs, TimeUnit.MILLISECONDS);
    }
  }
}
