package quotagateway.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import java.net.InetSocketAddress;

/**
 * Opens connections to backends, to the shared counter and to the discovery agent. Tests and the
 * warm-up implement this interface without sockets.
 */
public interface Dialer {

  /**
   * Starts to connect to a peer.
   *
   * @param address the peer's address
   * @param handler the first handler of the new channel, which sets up its pipeline
   * @return a future that completes on the event loop when the connection is open or has failed
   */
  ChannelFuture dial(InetSocketAddress address, ChannelHandler handler);

  /**
   * Starts to connect to a peer whose connections may take longer than the connect timeout.
   *
   * @param address the peer's address
   * @param handler the first handler of the new channel, which sets up its pipeline
   * @return a future that completes on the event loop when the connection is open or has failed
   */
  default ChannelFuture dialPatiently(InetSocketAddress address, ChannelHandler handler) {
    return dial(address, handler);
  }

  /**
   * Returns a dialer that opens sockets with the buffer and read sizes of {@link SocketTransport}.
   *
   * @param loop the event loop that drives the sockets
   * @param connectTimeoutMs the connect timeout in milliseconds
   */
  static Dialer sockets(EventLoop loop, double connectTimeoutMs) {
    return sockets(loop, connectTimeoutMs, SocketTransport.boundedReads());
  }

  /**
   * Returns a dialer that opens sockets with read sizes of their own.
   *
   * @param loop the event loop that drives the sockets
   * @param connectTimeoutMs the connect timeout in milliseconds
   * @param reads determines the size of reads
   */
  static Dialer sockets(EventLoop loop, double connectTimeoutMs, RecvByteBufAllocator reads) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(SocketTransport.PREFERRED.socket())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_SNDBUF, SocketTransport.SEND_BUFFER_BYTES)
            .option(ChannelOption.RECVBUF_ALLOCATOR, reads);
    return new SocketDialer(bootstrap, connectTimeoutMs);
  }
}
