package quotagateway.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.config.ResourceLimits;
import quotagateway.driver.PolicyDriver;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.event.RequestReceived;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeriodicTask;
import quotagateway.transport.SocketTransport;

/** Accepts clients, and tells their connections what all of them share. */
public final class ClientServer {

  /**
   * Of the connections, this part is over the bound: those are still told so, any more end at once.
   */
  private static final int SPARE_PART = 16;

  /** With so much of the places taken, connections end with their answers. */
  private static final double CROWDED = 0.75;

  /** How often connections are looked at for overdue requests. */
  private static final long SWEEP_MS = 200;

  /**
   * So long after new settings clients may still ask by those before: 1.2 s, and those that come
   * late.
   */
  private static final double FORMER_MS = 3_000;

  /**
   * So long after it is told to drain, the front has heard the no, and sends no new connections.
   */
  public static final double NOTICED_MS = 550;

  private final MonotonicClock clock;
  private final PolicyDriver driver;
  private final BackendConnectionPool backends;
  private RequestReader reader;

  /** By the settings before, while clients may still ask by those. */
  private RequestReader former;

  private double formerUntil = Double.NEGATIVE_INFINITY;
  private final ResourceLimits bounds;
  private final ConnectionBudget places;

  /** In the order of their opening. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Bytes of requests that are held: being received, or until they need not go out again. */
  private int held;

  private volatile Channel listening;
  private final Lifecycle lifecycle;

  /** There is no time left for a further request. */
  private boolean over;

  public ClientServer(
      EventLoop loop,
      MonotonicClock clock,
      PolicyDriver driver,
      BackendConnectionPool backends,
      RequestReader reader,
      ResourceLimits bounds,
      ConnectionBudget places,
      Lifecycle lifecycle) {
    this.clock = clock;
    this.driver = driver;
    this.backends = backends;
    this.reader = reader;
    this.bounds = bounds;
    this.places = places;
    this.lifecycle = lifecycle;
    PeriodicTask.schedule(loop, SWEEP_MS, this::endOverdue);
  }

  public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(SocketTransport.PREFERRED.serverSocket())
            .option(ChannelOption.SO_BACKLOG, 512)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(SocketTransport.PREFERRED.reusePort(), true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK, SocketTransport.WRITE_BUFFER_WATER_MARK)
            .childOption(ChannelOption.SO_SNDBUF, SocketTransport.SEND_BUFFER_BYTES)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, SocketTransport.boundedReads())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    adopt(channel);
                  }
                })
            .bind(address);
    listening = bound.channel();
    return bound;
  }

  /** Makes a channel a client's connection. */
  public void adopt(Channel channel) {
    ClientConnection connection = new ClientConnection(this);
    RequestDecoder decoder = new RequestDecoder();
    channel
        .pipeline()
        .addLast(new Inflow(connection, decoder), decoder, new HttpResponseEncoder(), connection);
  }

  /**
   * Sees a client's bytes first: when a request begins, how much of it has come, whether it is
   * wanted.
   */
  private static final class Inflow extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;
    private final RequestDecoder decoder;

    Inflow(ClientConnection connection, RequestDecoder decoder) {
      this.connection = connection;
      this.decoder = decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
      if (connection.receives(((ByteBuf) bytes).readableBytes())) {
        ctx.fireChannelRead(bytes);
        connection.received(decoder.holdsMore());
      } else {
        ReferenceCountUtil.release(bytes);
      }
    }
  }

  public PolicyDriver driver() {
    return driver;
  }

  RequestReceived read(HttpRequest message, double arrivedAt) throws RequestReader.BadRequest {
    RequestReceived request;
    try {
      request = reader.read(message, arrivedAt);
    } catch (RequestReader.BadRequest e) {
      if (clock.now() > formerUntil) {
        throw e;
      }
      request = former.read(message, arrivedAt);
    }
    if (driver.isActive(request.requestId())) {
      throw new RequestReader.BadRequest("Request-Id is in use");
    }
    return request;
  }

  /** New settings hold for what is read from now on. */
  public void read(RequestReader by) {
    former = reader;
    formerUntil = clock.now() + FORMER_MS;
    reader = by;
  }

  /** Whether it takes clients' requests; asked by the admin server too, from its own thread. */
  public boolean ready() {
    return lifecycle.serving() && backends.knowsAny();
  }

  boolean draining() {
    return lifecycle.drainingMs() > 0;
  }

  /** True when no request is expected any more on a connection that has none. */
  boolean drained() {
    return lifecycle.drainingMs() > NOTICED_MS;
  }

  double now() {
    return clock.now();
  }

  /** Counts bytes of requests that are held, or gives them back. */
  void hold(int bytes) {
    held += bytes;
  }

  /** With so much held requests are refused, so that the process stays within its memory. */
  boolean full() {
    return held >= bounds.bodyBytes() || driver.streamingResponseCount() >= bounds.streams();
  }

  boolean crowded() {
    return places.clientConnections() > CROWDED * places.maxClientConnections();
  }

  /**
   * True when the connection is one too many; far beyond that it ends at once, as descriptors run
   * out.
   */
  boolean opened(ClientConnection connection) {
    connections.add(connection);
    places.addClientConnections(1);
    int most = places.maxClientConnections();
    if (places.clientConnections() > most) {
      evict();
    }
    if (places.clientConnections() > most + most / SPARE_PART) {
      connection.closeIfIdle();
    }
    return places.clientConnections() > most;
  }

  void closed(ClientConnection connection) {
    if (connections.remove(connection)) {
      places.addClientConnections(-1);
    }
  }

  /** Ends the connection that has been idle longest, if one may be ended: others want its place. */
  private void evict() {
    double now = clock.now();
    ClientConnection oldest = null;
    for (ClientConnection c : connections) {
      if (c.evictable(now) && (oldest == null || c.quietSince() < oldest.quietSince())) {
        oldest = c;
      }
    }
    if (oldest != null) {
      oldest.closeIfIdle();
    }
  }

  private void endOverdue() {
    double now = clock.now();
    PeriodicTask.forEachIsolated(connections, c -> c.endIfOverdue(now));
  }

  /** Takes what waits to be taken, and no more connections. */
  public void stopAccepting() {
    if (listening != null) {
      SocketTransport.acceptPending(listening);
      listening.close();
    }
  }

  /**
   * The last call: what was taken is failed, and each connection ends, with an answer to what it
   * began.
   */
  public void end() {
    over = true;
    driver.failAll();
    PeriodicTask.forEachIsolated(connections, ClientConnection::endUnasked);
  }

  boolean over() {
    return over;
  }

  public boolean idle() {
    return connections.isEmpty();
  }
}
