package quotagateway.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;

/** Opens sockets by a bootstrap, within a connect timeout or a longer one. */
final class SocketDialer implements Dialer {

  /** Longest time for a connection; requests have at most about as much. */
  private static final double MAX_CONNECT_MS = 3_000;

  private final Bootstrap bootstrap;
  private final double connectTimeoutMs;

  SocketDialer(Bootstrap bootstrap, double connectTimeoutMs) {
    this.bootstrap = bootstrap;
    this.connectTimeoutMs = connectTimeoutMs;
  }

  @Override
  public ChannelFuture dial(InetSocketAddress address, ChannelHandler handler) {
    return connect(address, handler, connectTimeoutMs);
  }

  @Override
  public ChannelFuture dialPatiently(InetSocketAddress address, ChannelHandler handler) {
    return connect(address, handler, Math.max(connectTimeoutMs, MAX_CONNECT_MS));
  }

  private ChannelFuture connect(
      InetSocketAddress address, ChannelHandler handler, double timeoutMs) {
    return bootstrap
        .clone()
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(timeoutMs))
        .handler(handler)
        .connect(address);
  }
}
