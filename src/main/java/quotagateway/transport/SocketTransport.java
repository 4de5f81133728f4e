package quotagateway.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
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
import java.net.StandardSocketOptions;

/**
 * The kind of sockets that an event loop drives, and the buffer sizes that all of them share:
 * native epoll, which took a quarter less CPU on a calm day, or NIO where its library cannot be
 * loaded.
 *
 * @param ioHandler drives the sockets of one event loop
 * @param socket the class of connections
 * @param serverSocket the class of listening sockets
 * @param reusePort the option by which two processes listen at one address
 */
public record SocketTransport(
    IoHandlerFactory ioHandler,
    Class<? extends SocketChannel> socket,
    Class<? extends ServerSocketChannel> serverSocket,
    ChannelOption<Boolean> reusePort) {

  /** The best kind that this machine has. */
  public static final SocketTransport PREFERRED = Epoll.isAvailable() ? epoll() : nio();

  /**
   * Bounds what waits in this process to be written to one peer, in bytes: beyond the higher mark
   * the other side of a large body or response is not read, until the lower mark is reached.
   */
  public static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
      new WriteBufferWaterMark(16 * 1024, 32 * 1024);

  /**
   * Bounds what the kernel holds for a peer that reads slowly. It reports room only when a third of
   * its buffer is free, and lets the buffer grow to megabytes by itself: a peer that reads 64 kB a
   * second, without a pause, would look stuck for a quarter of a minute.
   */
  public static final int SEND_BUFFER_BYTES = 128 * 1024;

  private static final int MIN_READ_BYTES = 1_024;
  private static final int INITIAL_READ_BYTES = 2_048;

  /** Bounds one read, so that what waits to be written keeps no larger buffers from being freed. */
  private static final int MAX_READ_BYTES = 32 * 1_024;

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

  /** Sizes reads by what came before, up to 32 KiB each. */
  public static RecvByteBufAllocator boundedReads() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
  }
}
