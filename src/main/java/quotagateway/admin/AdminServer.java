package quotagateway.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import quotagateway.transport.SocketTransport;

/**
 * The operators' calls: whether this process can serve, to drain it, and to take it back. On an
 * address and an event loop of its own, so that no load of clients' makes an operator wait; it only
 * reads and moves the {@link Lifecycle}.
 */
public final class AdminServer {

  private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());

  /** Callers at a time; the oldest makes room for the next, as some connect and never call. */
  private static final int CALLERS = ResourceLimits.MAX_ADMIN_CONNECTIONS;

  /** A call is a few bytes from close by: one that is not whole by then will not be. */
  private static final long CALL_MS = 1_000;

  private static final int MOST_BODY = 4_096;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final Lifecycle lifecycle;
  private final BooleanSupplier ready;

  /** In the order of their coming. */
  private final ArrayDeque<Channel> callers = new ArrayDeque<>(CALLERS);

  private final Channel listening;

  /** Opens it; whether the front door can serve is asked on this server's thread. */
  public AdminServer(InetSocketAddress address, Lifecycle lifecycle, BooleanSupplier ready)
      throws IOException {
    this.lifecycle = lifecycle;
    this.ready = ready;
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(SocketTransport.PREFERRED.serverSocket())
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    admit(channel);
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    listening = bound.channel();
    if (!bound.isSuccess()) {
      close();
      throw new IOException("no admin server on " + address + ": " + bound.cause().getMessage());
    }
  }

  private void admit(Channel channel) {
    while (callers.size() >= CALLERS) {
      callers.poll().close();
    }
    callers.add(channel);
    channel.closeFuture().addListener(f -> callers.remove(channel));
    channel.eventLoop().schedule(() -> channel.close(), CALL_MS, TimeUnit.MILLISECONDS);
    channel
        .pipeline()
        .addLast(
            new RequestDecoder(),
            new HttpResponseEncoder(),
            new HttpObjectAggregator(MOST_BODY),
            new Call());
  }

  public SocketAddress address() {
    return listening.localAddress();
  }

  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** One call, which ends its connection. */
  private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
      HttpResponseStatus status =
          call.decoderResult().isFailure()
              ? HttpResponseStatus.BAD_REQUEST
              : outcome(call.method(), RequestReader.path(call.uri()));
      DefaultFullHttpResponse answer =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              status,
              Unpooled.copiedBuffer(lifecycle.state() + "\n", StandardCharsets.US_ASCII));
      answer
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes())
          .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private HttpResponseStatus outcome(HttpMethod method, String path) {
    return switch (path) {
      case "/ready" ->
          !method.equals(HttpMethod.GET)
              ? HttpResponseStatus.METHOD_NOT_ALLOWED
              : ready.getAsBoolean()
                  ? HttpResponseStatus.OK
                  : HttpResponseStatus.SERVICE_UNAVAILABLE;
      case "/drain" -> moved(method, path, lifecycle::drain);
      case "/undrain" -> moved(method, path, lifecycle::undrain);
      default -> HttpResponseStatus.NOT_FOUND;
    };
  }

  private HttpResponseStatus moved(HttpMethod method, String path, BooleanSupplier move) {
    if (!method.equals(HttpMethod.POST)) {
      return HttpResponseStatus.METHOD_NOT_ALLOWED;
    }
    boolean done = move.getAsBoolean();
    LOG.info(path + ": " + lifecycle.state());
    return done ? HttpResponseStatus.OK : HttpResponseStatus.CONFLICT;
  }
}
