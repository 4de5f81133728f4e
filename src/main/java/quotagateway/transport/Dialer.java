package quotagateway.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import java.net.InetSocketAddress;

/** Opens connections to backends, to the counter and to discovery. */
public interface Dialer {

  /** Connects; the handler sets the new channel up. */
  ChannelFuture dial(InetSocketAddress address, ChannelHandler handler);

  /** Real ones, driven by the loop, that come up within the limit or not at all. */
  static Dialer sockets(EventLoop loop, double limitMs) {
    return sockets(loop, limitMs, SocketTransport.boundedReads());
  }

  /** The same, which read as the allocator says. */
  static Dialer sockets(EventLoop loop, double limitMs, RecvByteBufAllocator reads) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(SocketTransport.PREFERRED.socket())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, SocketTransport.WRITE_BUFFER_WATER_MARK)
            .option(ChannelOption.SO_SNDBUF, SocketTransport.SEND_BUFFER_BYTES)
            .option(ChannelOption.RECVBUF_ALLOCATOR, reads)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(limitMs));
    return (address, handler) -> bootstrap.clone().handler(handler).connect(address);
  }
}
