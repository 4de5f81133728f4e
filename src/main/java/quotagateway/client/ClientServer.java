package quotagateway.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.driver.PolicyDriver;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.transport.AcceptThrottle;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.HeapWatch;
import quotagateway.transport.KernelSockets;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;
import quotagateway.transport.SocketTransport;

/**
 * Accepts client connections, and closes them at shutdown. Confined to the event loop's thread,
 * except for {@link #listen} and {@link #isReady}.
 */
public final class ClientServer {

  /**
   * Time after the start of a drain, in milliseconds, by which the upstream load balancer has seen
   * {@code GET /up} fail and sends no new connections.
   */
  public static final double DRAIN_NOTICE_MS = 550;

  private static final int MAX_ACCEPT_BACKLOG = 512;

  private final ClientContext context;
  private final AcceptThrottle acceptThrottle = new AcceptThrottle();
  private final ClientConnections connections;
  private volatile Channel serverChannel;

  /**
   * Creates a server that accepts no connections before {@link #listen} is called.
   *
   * @param loop runs all work of the server
   * @param reader applies the settings in force at the start
   * @param budget shared by connections of clients and to backends
   * @param memory limits what clients hold; shared with the connections to backends
   * @param heapWatch notices an exhausted heap, so that unfinished requests are ended
   */
  public ClientServer(
      EventLoop loop,
      MonotonicClock clock,
      PolicyDriver driver,
      BackendConnectionPool backends,
      RequestReader reader,
      ConnectionBudget budget,
      PeerMemory memory,
      HeapWatch heapWatch,
      Lifecycle lifecycle) {
    context = new ClientContext(clock, driver, backends, reader, memory, heapWatch, lifecycle);
    connections = new ClientConnections(loop, context, budget, acceptThrottle);
  }

  /** Starts to accept connections at the address; the future reports whether it could be bound. */
  public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(SocketTransport.PREFERRED.serverSocket())
            .option(ChannelOption.SO_BACKLOG, MAX_ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(SocketTransport.PREFERRED.reusePort(), true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, SocketTransport.SEND_BUFFER_BYTES)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, SocketTransport.boundedReads())
            .handler(acceptThrottle)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    addConnection(channel);
                  }
                })
            .bind(address);
    serverChannel = bound.channel();
    return bound;
  }

  /** Sets up the channel as a client connection. */
  public void addConnection(Channel channel) {
    ClientConnection connection = new ClientConnection(channel, context, connections);
    RequestDecoder decoder = new RequestDecoder();
    channel
        .pipeline()
        .addLast(
            new ReceivedBytesHandler(connection.assembler(), decoder),
            decoder,
            new HttpResponseEncoder(),
            connection);
  }

  /**
   * Records a client's bytes before they are decoded, because the decoder does not report when a
   * request begins and how much of it has been received. Drops bytes that are not wanted.
   */
  private final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final RequestAssembler assembler;
    private final RequestDecoder decoder;

    ReceivedBytesHandler(RequestAssembler assembler, RequestDecoder decoder) {
      this.assembler = assembler;
      this.decoder = decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
      connections.onBytesReceived();
      if (assembler.bytesReceived()) {
        ctx.fireChannelRead(bytes);
        assembler.bytesDecoded(decoder.hasMoreBytes(), decoder.heldBytes());
      } else {
        ReferenceCountUtil.release(bytes);
      }
    }
  }

  /** Returns the driver that owns the accepted requests. */
  public PolicyDriver driver() {
    return context.driver();
  }

  /** Applies new settings to all requests that are read from now on. */
  public void replaceRequestReader(RequestReader newReader) {
    context.replaceReader(newReader);
  }

  /**
   * Returns whether the gateway accepts clients' requests. The admin server also calls it, on its
   * own thread.
   */
  public boolean isReady() {
    return context.isReady();
  }

  /** Accepts the connections that are already pending, and then stops accepting. */
  public void stopAccepting() {
    if (serverChannel != null) {
      KernelSockets.acceptPending(serverChannel);
      serverChannel.close();
    }
  }

  /**
   * Ends the service at the final timeout of the shutdown: unanswered requests fail, and each
   * connection is closed, after an error if part of a request has been received. A connection with
   * a pending response is not closed before the client's socket has taken all of it.
   */
  public void shutDown() {
    context.shutDown();
    context.driver().failAll();
    connections.closeAllForShutdown();
  }

  /**
   * Returns whether any client is owed a response or the rest of one, including what its socket has
   * not taken yet.
   */
  public boolean hasPendingResponses() {
    return connections.hasPendingResponses();
  }

  /** Returns whether no client is connected. */
  public boolean hasNoConnections() {
    return connections.isEmpty();
  }
}
