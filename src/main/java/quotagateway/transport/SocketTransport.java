package quotagateway.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
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
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.util.Set;
import java.util.logging.Logger;

/**
 * The sockets that the event loop drives: native epoll, which took a quarter less CPU on a calm
 * day, or NIO where its library cannot be loaded.
 */
public record SocketTransport(
    IoHandlerFactory ioHandler,
    Class<? extends SocketChannel> socket,
    Class<? extends ServerSocketChannel> serverSocket,
    ChannelOption<Boolean> reusePort) {

  public static final SocketTransport PREFERRED =
      Epoll.isAvailable()
          ? new SocketTransport(
              StaleEventFilter.newFactory(),
              EpollSocketChannel.class,
              EpollServerSocketChannel.class,
              EpollChannelOption.SO_REUSEPORT)
          : new SocketTransport(
              NioIoHandler.newFactory(),
              NioSocketChannel.class,
              NioServerSocketChannel.class,
              NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT));

  /** What one side of a large body or answer may have waiting before the other stops reading. */
  public static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
      new WriteBufferWaterMark(16 * 1024, 32 * 1024);

  /**
   * What the kernel may hold of it for a peer that reads slowly. It tells of room only when a third
   * has gone, and lets the buffer grow to megabytes by itself: at 64 kB a second a peer that reads
   * all the time would look stuck for a quarter of a minute.
   */
  public static final int SEND_BUFFER_BYTES = 128 * 1024;

  /** TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK and TCP_CLOSING, as Linux numbers the states. */
  private static final Set<Integer> ENDED_STATES = Set.of(7, 8, 9, 11);

  private static final Logger LOG = Logger.getLogger(SocketTransport.class.getName());

  /** Bytes of the longest address, as Netty encodes it, and of its length. */
  private static final int MAX_ENCODED_ADDRESS_BYTES = 26;

  /**
   * For how long the newest bytes of a connection had been with the kernel, in milliseconds; 0
   * where it does not tell. A loop that is short of CPU reads late, and only the kernel knows how
   * late.
   */
  public static double msSinceLastReceive(Channel channel) {
    try {
      return channel instanceof EpollSocketChannel socket ? socket.tcpInfo().lastDataRecv() : 0;
    } catch (ChannelException e) {
      return 0;
    }
  }

  /**
   * Ends a connection with a reset. One whose socket is closed is left alone, though its pipeline
   * may not have heard of that yet: the option would fail, or go to the socket that has its number
   * by now.
   */
  public static void reset(Channel channel) {
    if (channel.isOpen()) {
      try {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
      } catch (ChannelException e) {
        LOG.warning("cannot reset a connection: " + e.getMessage());
      }
      channel.close();
    }
  }

  /**
   * Whether the kernel has seen the other side end the connection or its sending, though it may not
   * have been read here yet; false where the kernel does not tell.
   */
  public static boolean isClosedByPeer(Channel channel) {
    try {
      return channel instanceof EpollSocketChannel socket
          && ENDED_STATES.contains(socket.tcpInfo().state());
    } catch (ChannelException e) {
      return false;
    }
  }

  /**
   * Reads of up to 32 KiB, so that what waits to be written keeps no larger buffers from being
   * freed.
   */
  public static RecvByteBufAllocator boundedReads() {
    return new AdaptiveRecvByteBufAllocator(1_024, 2_048, 32 * 1_024);
  }

  /**
   * Has all connections accepted that wait by now. Guards against the reset of those that a
   * listening socket leaves behind when it closes. Harm: none; what comes between the last of them
   * and the close is lost all the same.
   */
  public static void acceptPending(Channel listening) {
    if (listening instanceof EpollServerSocketChannel server) {
      Socket socket = new Socket(server.fd().intValue());
      byte[] address = new byte[MAX_ENCODED_ADDRESS_BYTES];
      try {
        for (int fd = socket.accept(address); fd >= 0; fd = socket.accept(address)) {
          server.pipeline().fireChannelRead(new EpollSocketChannel(fd));
        }
      } catch (IOException e) {
        LOG.warning("cannot accept what waits: " + e.getMessage());
      }
    }
  }
}
