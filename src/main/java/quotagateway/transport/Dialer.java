package quotagateway.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import java.net.InetSocketAddress;

/**
 * Opens connections to backends, to the counter and to discovery. An interface, so that tests and
 * the warm-up can do without sockets.
 */
public interface Dialer {

  /**
   * Begins to connect.
   *
   * @param address the peer
   * @param handler the first handler of the new channel, which sets up its pipeline
   * @return completes on the event loop once the connection is up, or cannot be had
   */
  ChannelFuture dial(InetSocketAddress address, ChannelHandler handler);

  /**
   * A dialer of sockets that share the sizes of {@link SocketTransport}.
   *
   * @param loop drives the sockets
   * @param connectTimeoutMs bounds the time in which a connection comes up, in milliseconds
   */
  static Dialer sockets(EventLoop loop, double connectTimeoutMs) {
    return sockets(loop, connectTimeoutMs, SocketTransport.boundedReads());
  }

  /**
   * A dialer of sockets whose reads another allocator sizes.
   *
   * @param loop drives the sockets
   * @param connectTimeoutMs bounds the time in which a connection comes up, in milliseconds
   * @param reads sizes the reads
   */
  static Dialer sockets(EventLoop loop, double connectTimeoutMs, RecvByteBufAllocator reads) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(SocketTransport.PREFERRED.socket())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, SocketTransport.WRITE_BUFFER_WATER_MARK)
            .option(ChannelOption.SO_SNDBUF, SocketTransport.SEND_BUFFER_BYTES)
            .option(ChannelOption.RECVBUF_ALLOCATOR, reads)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(connectTimeoutMs));
    return (address, handler) -> bootstrap.clone().handler(handler).connect(address);
  }
}
