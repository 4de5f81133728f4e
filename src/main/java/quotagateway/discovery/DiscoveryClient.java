package quotagateway.discovery;

import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;

/**
 * Keeps one watch of the endpoint list open, and replaces it when it ends or falls silent. While no
 * watch is up, the last list stays in use. Not thread-safe: belongs to its event loop.
 *
 * <p>A change counts as notified 6 s after discovery had it and could be reached, and 6 s after the
 * watch that misses it fell silent, even if watches failed meanwhile. The next watch begins, after
 * one
 *
 * <ul>
 *   <li>that was refused, closed, answered by an error or ended: within the longest backoff, 300
 *       ms;
 *   <li>whose connection did not come up: within 500 ms and the backoff, 800 ms;
 *   <li>that was connected and got no response: within 500 ms;
 *   <li>that stopped within a message: within 300 ms and the backoff, 600 ms;
 *   <li>whose response began and brought nothing, or that fell silent: within 2,500 ms;
 *   <li>that brought the fourth invalid list in a row, or a later one: within 3,000 ms.
 * </ul>
 *
 * The backoff does not grow beyond its longest, so the sums hold however many watches failed
 * before. A watch that falls silent, one more that brings nothing and one that does not come up
 * make 5,800 ms.
 */
public final class DiscoveryClient {

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());

  /**
   * Read from the socket in one turn of the event loop, also of a long list: some thirty endpoints,
   * so that requests are served in between.
   */
  private static final int MAX_READ_BYTES = 4 * 1024;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EndpointUpdateDispatcher dispatcher;
  private final Dialer dialer;
  private final int maxEndpoints;
  private final WatchBackoff backoff =
      new WatchBackoff(() -> ThreadLocalRandom.current().nextDouble());

  private final DiscoveryWatch.Owner watchOwner = new WatchOwner();

  /** The version of the list in use. */
  private long version;

  private DiscoveryWatch currentWatch;

  /**
   * The watch before, which was silent or at an address that is not configured any more; null where
   * there is none. What it brings is still used until the current watch brings something.
   */
  private DiscoveryWatch previousWatch;

  /**
   * Creates a client that has yet to be started.
   *
   * @param loop runs the client
   * @param clock measures how long a watch lasted
   * @param dialer opens connections; see {@link #dialer}
   * @param agent where discovery is watched
   * @param version the version of the list in use: the watch begins with what changed after it
   * @param maxEndpoints entries of the longest list that is accepted
   * @param listener gets the messages of discovery in order, long ones in fragments
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

  /** A dialer of sockets to discovery, which are to come up within the time of a response. */
  public static Dialer dialer(EventLoop loop) {
    FixedRecvByteBufAllocator reads = new FixedRecvByteBufAllocator(MAX_READ_BYTES);
    reads.maxMessagesPerRead(1);
    return Dialer.sockets(loop, DiscoveryWatch.RESPONSE_TIMEOUT_MS, reads);
  }

  /** Opens the first watch. */
  public void start() {
    currentWatch.connect();
  }

  /** Watches at another address; the old watch goes on until the new one brings something. */
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
    closePreviousWatch();
    previousWatch = currentWatch;
    currentWatch = newWatch(agent);
    currentWatch.connect();
  }

  private void closePreviousWatch() {
    if (previousWatch != null) {
      previousWatch.close();
      previousWatch = null;
    }
  }

  private void reopen(DiscoveryWatch ended) {
    if (ended == currentWatch) {
      currentWatch = newWatch(ended.agent());
      currentWatch.connect();
    }
  }

  /** What the client does about events of its watches. */
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
      return watch == currentWatch || watch == previousWatch;
    }

    @Override
    public void onData(DiscoveryWatch watch) {
      if (watch == currentWatch) {
        closePreviousWatch();
      }
    }

    @Override
    public void onEndpointUpdate(EndpointUpdate update) {
      // Prevents a watch from a version that discovery does not have: it would be refused for good.
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
