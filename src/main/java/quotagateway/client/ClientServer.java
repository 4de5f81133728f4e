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
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.config.ResourceLimits;
import quotagateway.driver.PolicyDriver;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.KernelSockets;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/**
 * Accepts the connections of clients, and ends them at the shutdown. On the event loop's thread,
 * but for {@link #listen} and {@link #isReady}.
 */
public final class ClientServer {

  /**
   * So long after a drain has begun, the upstream load balancer has seen that {@code GET /up} says
   * no, and sends no new connections, in milliseconds.
   */
  public static final double DRAIN_NOTICE_MS = 550;

  private static final int MAX_ACCEPT_BACKLOG = 512;

  private final ClientContext context;
  private final ClientConnections connections;
  private volatile Channel listening;

  /**
   * Serves nobody before {@link #listen}.
   *
   * @param loop on which all of it runs
   * @param reader by the settings at the start
   * @param limits what requests may hold
   * @param budget connections of clients and to backends together
   */
  public ClientServer(
      EventLoop loop,
      MonotonicClock clock,
      PolicyDriver driver,
      BackendConnectionPool backends,
      RequestReader reader,
      ResourceLimits limits,
      ConnectionBudget budget,
      Lifecycle lifecycle) {
    context = new ClientContext(clock, driver, backends, reader, limits, lifecycle);
    connections = new ClientConnections(loop, context, budget);
  }

  /** Begins to accept connections at the address; the future says whether it could be bound. */
  public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(SocketTransport.PREFERRED.serverSocket())
            .option(ChannelOption.SO_BACKLOG, MAX_ACCEPT_BACKLOG)
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
   * Sees a client's bytes ahead of the decoder, which does not tell when a request begins and how
   * much of it has come; drops what is not wanted.
   */
  private static final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final RequestAssembler assembler;
    private final RequestDecoder decoder;

    ReceivedBytesHandler(RequestAssembler assembler, RequestDecoder decoder) {
      this.assembler = assembler;
      this.decoder = decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
      if (assembler.bytesReceived(((ByteBuf) bytes).readableBytes())) {
        ctx.fireChannelRead(bytes);
        assembler.bytesDecoded(decoder.hasMoreBytes());
      } else {
        ReferenceCountUtil.release(bytes);
      }
    }
  }

  /** Who has the requests that were accepted. */
  public PolicyDriver driver() {
    return context.driver();
  }

  /** New settings hold for the requests that are read from now on. */
  public void replaceRequestReader(RequestReader newReader) {
    context.replaceReader(newReader);
  }

  /** Whether it takes clients' requests; asked by the admin server too, from its own thread. */
  public boolean isReady() {
    return context.ready();
  }

  /** Accepts the connections that wait to be accepted, and no more. */
  public void stopAccepting() {
    if (listening != null) {
      KernelSockets.acceptPending(listening);
      listening.close();
    }
  }

  /**
   * The final timeout of the shutdown: what is unanswered fails, and each connection ends, with an
   * error to a request that has come in part.
   */
  public void shutDown() {
    context.shutDown();
    context.driver().failAll();
    connections.closeAllForShutdown();
  }

  /** Whether no client is connected. */
  public boolean hasNoConnections() {
    return connections.isEmpty();
  }
}
