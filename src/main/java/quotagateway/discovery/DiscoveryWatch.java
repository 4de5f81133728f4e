package quotagateway.discovery;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;

/**
 * One watch of the endpoint list on its own connection. Sends the request and detects silence. The
 * pipeline consists of the HTTP codec, {@link WatchResponseHandler} and {@link
 * EndpointListHandler}. Not thread-safe: belongs to its event loop.
 */
final class DiscoveryWatch extends ChannelInitializer<Channel> {

  /**
   * Timeout for the connection, and then for the response. The discovery agent runs on the same
   * machine and answers immediately, so a watch that takes longer is broken.
   */
  static final long RESPONSE_TIMEOUT_MS = 500;

  /**
   * Interval at which discovery sends an empty line while nothing changes. The first line also
   * arrives within this interval.
   */
  private static final long HEARTBEAT_INTERVAL_MS = 2_000;

  /** Longest time without data after the response has begun. */
  private static final long SILENCE_TIMEOUT_MS = HEARTBEAT_INTERVAL_MS + RESPONSE_TIMEOUT_MS;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Dialer dialer;
  private final InetSocketAddress agent;
  private final EndpointListReader reader;
  private final Owner owner;
  private final double createdAtMs;

  /**
   * When the watch last showed a sign of life: its connection was established, its response began,
   * or body data arrived. Smaller pieces, such as the bytes of a header that arrives slowly, do not
   * count.
   */
  private double lastAliveAtMs;

  private boolean responseStarted;
  private Channel channel;

  /**
   * Receives the events of a watch; implemented by the client, which opens and replaces watches.
   */
  interface Owner {

    /** Returns the version of the endpoint list in use. */
    long version();

    /** Returns whether the watch is the one to be kept open. */
    boolean isCurrent(DiscoveryWatch watch);

    /** Returns whether messages of the watch are still used. */
    boolean isInUse(DiscoveryWatch watch);

    /** Called when data of the response's body has arrived, before the data is read. */
    void onData(DiscoveryWatch watch);

    /** Called when a message is complete. */
    void onEndpointUpdate(EndpointUpdate update);

    /** Called when a message is invalid, before the watch is closed. */
    void onInvalidList(InvalidEndpointListException cause);

    /**
     * Called when the current watch exceeds its time limit without data; its connection is still
     * open.
     */
    void onSilent(DiscoveryWatch watch);

    /** Called when the connection could not be established or was closed by either side. */
    void onEnded(DiscoveryWatch watch);
  }

  DiscoveryWatch(
      EventLoop loop,
      MonotonicClock clock,
      Dialer dialer,
      InetSocketAddress agent,
      int maxEndpoints,
      Owner owner) {
    this.loop = loop;
    this.clock = clock;
    this.dialer = dialer;
    this.agent = agent;
    this.owner = owner;
    reader = new EndpointListReader(maxEndpoints, owner::onEndpointUpdate);
    createdAtMs = clock.now();
    lastAliveAtMs = createdAtMs;
  }

  InetSocketAddress agent() {
    return agent;
  }

  /** Returns when the watch was created, by the client's clock, in milliseconds. */
  double createdAtMs() {
    return createdAtMs;
  }

  /** Opens the connection and sends the request; must be called only once. */
  void connect() {
    ChannelFuture connectFuture = dialer.dial(agent, this);
    channel = connectFuture.channel();
    connectFuture.addListener(
        result -> {
          if (result.isSuccess()) {
            onConnected();
          } else {
            // Not reported by the close future: without a free descriptor, no channel is opened.
            owner.onEnded(this);
          }
        });
  }

  private void onConnected() {
    channel.closeFuture().addListener(result -> owner.onEnded(this));
    lastAliveAtMs = clock.now();
    channel.writeAndFlush(request());
    checkSilence();
  }

  private DefaultFullHttpRequest request() {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, DiscoveryProtocol.watchTarget(owner.version()));
    String host = agent.getAddress().getHostAddress() + ":" + agent.getPort();
    request.headers().set(HttpHeaderNames.HOST, host);
    return request;
  }

  /**
   * Reports a watch that exceeds its time limit as silent, or schedules the next check. Without
   * this, a watch would wait forever for a machine that vanished without resetting its connections,
   * and no further change would be received. The drawback is a timer for each watch.
   */
  private void checkSilence() {
    if (!owner.isCurrent(this) || !channel.isActive()) {
      return;
    }
    double timeoutMs = responseStarted ? SILENCE_TIMEOUT_MS : RESPONSE_TIMEOUT_MS;
    double remainingMs = timeoutMs - (clock.now() - lastAliveAtMs);
    if (remainingMs <= 0) {
      owner.onSilent(this);
    } else {
      loop.schedule(this::checkSilence, (long) Math.ceil(remainingMs), TimeUnit.MILLISECONDS);
    }
  }

  /** Records that a valid part of the response without body data has arrived. */
  void onResponse() {
    if (!responseStarted) {
      responseStarted = true;
      lastAliveAtMs = clock.now();
    }
  }

  /** Records that body data has arrived. */
  void onData() {
    responseStarted = true;
    lastAliveAtMs = clock.now();
    owner.onData(this);
  }

  /** Closes the connection if it is open. */
  void close() {
    if (channel.isOpen()) {
      channel.close();
    }
  }

  @Override
  protected void initChannel(Channel newChannel) {
    newChannel
        .pipeline()
        .addLast(
            new HttpClientCodec(),
            new WatchResponseHandler(this),
            new EndpointListHandler(this, owner, reader, loop));
  }
}
