package quotagateway.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.PlatformDependent;
import java.net.StandardSocketOptions;

/**
 * The socket implementation of an event loop, and the buffer sizes that all sockets share. Native
 * epoll used a quarter less CPU than NIO on a day without incidents; NIO is the fallback if the
 * native library cannot be loaded.
 *
 * @param ioHandler creates the I/O handler of an event loop
 * @param socket the channel class of connections
 * @param serverSocket the channel class of listening sockets
 * @param reusePort the option that lets two processes listen on the same address
 */
public record SocketTransport(
    IoHandlerFactory ioHandler,
    Class<? extends SocketChannel> socket,
    Class<? extends ServerSocketChannel> serverSocket,
    ChannelOption<Boolean> reusePort) {

  /** Native epoll if it is available on this machine, otherwise NIO. */
  public static final SocketTransport PREFERRED = Epoll.isAvailable() ? epoll() : nio();

  /**
   * Limits what the kernel buffers for a peer that reads slowly. The kernel reports a socket as
   * writable only when a third of its send buffer is free, and by default lets the buffer grow to
   * megabytes. A peer that reads 64 kB per second without a pause would then appear stalled for a
   * quarter of a minute.
   */
  public static final int SEND_BUFFER_BYTES = 128 * 1024;

  private static final int MIN_READ_BYTES = 1_024;
  private static final int INITIAL_READ_BYTES = 2_048;

  /** Limits one read, and with it what is received and not passed on yet. */
  public static final int MAX_READ_BYTES = 16 * 1_024;

  /**
   * Share of the direct memory that buffers between clients and backends may hold. The rest is for
   * reads, for the counter, discovery and the operators, and for what the allocator leaves unused.
   */
  private static final double BUFFER_SHARE = 0.75;

  private static SocketTransport epoll() {
    return new SocketTransport(
        StaleEventFilter.newFactory(),
        EpollSocketChannel.class,
        EpollServerSocketChannel.class,
        EpollChannelOption.SO_REUSEPORT);
  }

  private static SocketTransport nio() {
    return new SocketTransport(
        NioIoHandler.newFactory(),
        NioSocketChannel.class,
        NioServerSocketChannel.class,
        NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT));
  }

  /** Returns an allocator that adapts the size of reads to previous reads, up to 16 KiB each. */
  public static RecvByteBufAllocator boundedReads() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
  }

  /** Returns how many bytes of direct memory buffers between clients and backends may hold. */
  public static long maxBufferBytes() {
    return (long) (PlatformDependent.maxDirectMemory() * BUFFER_SHARE);
  }
}
