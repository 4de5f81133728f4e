package quotagateway.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.logging.Logger;
import quotagateway.client.RequestDecoder;
import quotagateway.client.RequestReader;
import quotagateway.config.ResourceLimits;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.transport.AcceptThrottle;
import quotagateway.transport.ListeningSocket;
import quotagateway.transport.SocketTransport;

/**
 * Serves the calls of operators: {@code GET /ready} reports whether this process can serve, {@code
 * POST /drain} drains it, and {@code POST /undrain} ends the drain. The server only reads and
 * changes the {@link Lifecycle}.
 *
 * <p>The server has its own address and event loop. Otherwise operators would have to wait, or
 * could not connect, when clients' requests saturate the other loop or use up the descriptors. The
 * drawback is one more thread and a few more descriptors.
 */
public final class AdminServer {

  private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());

  /**
   * Time limit for a call. A call is a few bytes from nearby; one that is incomplete by then is not
   * expected to complete.
   */
  private static final long CALL_TIMEOUT_MS = 1_000;

  /** No call needs a body, but a caller may send a small one. */
  private static final int MAX_BODY_BYTES = 4_096;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final Lifecycle lifecycle;
  private final BooleanSupplier ready;

  /** Connections of callers, oldest first. */
  private final ArrayDeque<Channel> callers =
      new ArrayDeque<>(ResourceLimits.MAX_ADMIN_CONNECTIONS);

  private final Channel serverChannel;

  /**
   * Creates a server and listens on the address.
   *
   * @param ready whether the gateway can serve; called on this server's thread
   * @throws IOException if the server cannot listen on the address
   */
  public AdminServer(InetSocketAddress address, Lifecycle lifecycle, BooleanSupplier ready)
      throws IOException, InterruptedException {
    this.lifecycle = lifecycle;
    this.ready = ready;
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(SocketTransport.PREFERRED.serverSocket())
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(new AcceptThrottle())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                });
    try {
      serverChannel = ListeningSocket.open(address, () -> bootstrap.bind(address));
    } catch (BindException | InterruptedException e) {
      close();
      throw e;
    }
  }

  /**
   * Sets up a caller's connection, which is closed after {@link #CALL_TIMEOUT_MS} at the latest. If
   * the maximum number of connections is open, the oldest one is closed to make room. Without these
   * closes, callers that connect and send no call would keep others out. The drawback is that when
   * more callers connect at a time than connections are allowed, the first ones get no response.
   */
  private void accept(Channel channel) {
    while (callers.size() >= ResourceLimits.MAX_ADMIN_CONNECTIONS) {
      callers.poll().close();
    }
    callers.add(channel);
    channel.closeFuture().addListener(closed -> callers.remove(channel));
    channel.eventLoop().schedule(() -> channel.close(), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    channel
        .pipeline()
        .addLast(
            new RequestDecoder(),
            new HttpResponseEncoder(),
            new HttpObjectAggregator(MAX_BODY_BYTES),
            new CallHandler());
  }

  /** Returns the address on which operators connect. */
  public SocketAddress address() {
    return serverChannel.localAddress();
  }

  /** Closes all connections immediately. */
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Responds to one call, and then closes its connection. */
  private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Whether the connection's only call has been received; any further call is ignored. */
    private boolean called;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest call) {
      if (called) {
        return;
      }
      called = true;
      HttpResponseStatus status =
          call.decoderResult().isFailure()
              ? HttpResponseStatus.BAD_REQUEST
              : execute(call.method(), RequestReader.path(call.uri()));
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              status,
              Unpooled.copiedBuffer(lifecycle.state() + "\n", StandardCharsets.US_ASCII));
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
          .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }

  private HttpResponseStatus execute(HttpMethod method, String path) {
    return switch (path) {
      case "/ready" -> readiness(method);
      case "/drain" -> changeState(method, path, lifecycle::drain);
      case "/undrain" -> changeState(method, path, lifecycle::undrain);
      default -> HttpResponseStatus.NOT_FOUND;
    };
  }

  private HttpResponseStatus readiness(HttpMethod method) {
    if (!method.equals(HttpMethod.GET)) {
      return HttpResponseStatus.METHOD_NOT_ALLOWED;
    }
    return ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  private HttpResponseStatus changeState(HttpMethod method, String path, BooleanSupplier change) {
    if (!method.equals(HttpMethod.POST)) {
      return HttpResponseStatus.METHOD_NOT_ALLOWED;
    }
    boolean succeeded = change.getAsBoolean();
    LOG.info("operator call path=" + path + " state=" + lifecycle.state());
    return succeeded ? HttpResponseStatus.OK : HttpResponseStatus.CONFLICT;
  }
}
