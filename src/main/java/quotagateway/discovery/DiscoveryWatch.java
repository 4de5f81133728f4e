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
 * One watch of the endpoint list, on a connection of its own: sends the request and notices
 * silence. Its pipeline is the HTTP codec, {@link WatchResponseHandler} and {@link
 * EndpointListHandler}. Not thread-safe: belongs to its event loop.
 */
final class DiscoveryWatch extends ChannelInitializer<Channel> {

  /**
   * Bounds the wait for a connection, and then for the response. Discovery's agent is on this
   * machine and answers at once: a watch that takes longer is broken.
   */
  static final long RESPONSE_TIMEOUT_MS = 500;

  /** While nothing changes, discovery sends an empty line this often, the first of them too. */
  private static final long HEARTBEAT_INTERVAL_MS = 2_000;

  /** Bounds the time without data once the response has begun. */
  private static final long SILENCE_TIMEOUT_MS = HEARTBEAT_INTERVAL_MS + RESPONSE_TIMEOUT_MS;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Dialer dialer;
  private final InetSocketAddress agent;
  private final EndpointListReader reader;
  private final Owner owner;
  private final double createdAtMs;

  /**
   * When the watch was last known to be alive: connected, answered, or bringing data of the body.
   * Bytes of less than that, such as those of a header that trickles in, are no sign of life.
   */
  private double aliveAtMs;

  private boolean responseStarted;
  private Channel channel;

  /** The client that opens and replaces watches. */
  interface Owner {

    /** The version of the list in use. */
    long version();

    /** Whether it is the watch that is to be kept open. */
    boolean isCurrent(DiscoveryWatch watch);

    /** Whether messages of this watch are still to be used. */
    boolean isInUse(DiscoveryWatch watch);

    /** The watch brought data of the response's body, which has not been read yet. */
    void onData(DiscoveryWatch watch);

    /** A message is complete. */
    void onEndpointUpdate(EndpointUpdate update);

    /** A message is invalid, and the watch is about to be closed. */
    void onInvalidList(InvalidEndpointListException cause);

    /** The current watch brought nothing within its time limit; its connection is still open. */
    void onSilent(DiscoveryWatch watch);

    /** The connection did not come up, or was closed by either side. */
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
    aliveAtMs = createdAtMs;
  }

  InetSocketAddress agent() {
    return agent;
  }

  /** When the watch was created, by the client's clock, in milliseconds. */
  double createdAtMs() {
    return createdAtMs;
  }

  /** Opens the connection and sends the request; to be called once. */
  void connect() {
    ChannelFuture connecting = dialer.dial(agent, this);
    channel = connecting.channel();
    connecting.addListener(
        connected -> {
          if (connected.isSuccess()) {
            onConnected();
          } else {
            // Not by the channel's close: without a free descriptor there is no channel to close.
            owner.onEnded(this);
          }
        });
  }

  private void onConnected() {
    channel.closeFuture().addListener(closed -> owner.onEnded(this));
    aliveAtMs = clock.now();
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
   * Prevents a watch that waits for ever for a machine that has vanished, which resets nothing: no
   * change would be received again. Cost: a timer for each watch.
   */
  private void checkSilence() {
    if (!owner.isCurrent(this) || !channel.isActive()) {
      return;
    }
    double timeoutMs = responseStarted ? SILENCE_TIMEOUT_MS : RESPONSE_TIMEOUT_MS;
    double remainingMs = timeoutMs - (clock.now() - aliveAtMs);
    if (remainingMs <= 0) {
      owner.onSilent(this);
    } else {
      loop.schedule(this::checkSilence, (long) Math.ceil(remainingMs), TimeUnit.MILLISECONDS);
    }
  }

  /** A valid part of the response has arrived that holds no data. */
  void onResponse() {
    if (!responseStarted) {
      responseStarted = true;
      aliveAtMs = clock.now();
    }
  }

  /** Data of the response's body has arrived. */
  void onData() {
    responseStarted = true;
    aliveAtMs = clock.now();
    owner.onData(this);
  }

  /** Closes the connection if it is open. */
  void close() {
    if (channel.isOpen()) {
      channel.close();
    }
  }

  @Override
  protected void initChannel(Channel connection) {
    connection
        .pipeline()
        .addLast(
            new HttpClientCodec(),
            new WatchResponseHandler(this),
            new EndpointListHandler(this, owner, reader, loop));
  }
}
