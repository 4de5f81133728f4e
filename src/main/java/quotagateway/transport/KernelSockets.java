package quotagateway.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * What the kernel knows of a socket before its channel does, and what only the kernel can do with
 * one. Without native epoll the questions get their neutral answer. To be used on the event loop of
 * the channel.
 */
public final class KernelSockets {

  private static final Logger LOG = Logger.getLogger(KernelSockets.class.getName());

  /** TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK and TCP_CLOSING, as Linux numbers the states. */
  private static final Set<Integer> CLOSED_BY_PEER_STATES = Set.of(7, 8, 9, 11);

  /** What a read of the native transport returns where nothing has come. */
  private static final int WOULD_BLOCK = 0;

  /** Bytes of the longest address, as Netty encodes it, and of its length. */
  private static final int MAX_ENCODED_ADDRESS_BYTES = 26;

  private KernelSockets() {}

  /** What of a connection may wait with the kernel to be read. */
  public enum UnreadInput {
    /** Nothing, or it is not known. */
    NONE,
    /** Bytes; the peer's close may be behind them. */
    BYTES,
    /** The peer's close, or a reset. */
    END
  }

  /**
   * For how long the newest bytes of a connection have been with the kernel, in milliseconds; 0
   * where that is not known. An event loop that is short of CPU reads late, and only the kernel
   * knows how late.
   */
  public static double msSinceLastReceive(Channel channel) {
    try {
      return channel instanceof EpollSocketChannel socket ? socket.tcpInfo().lastDataRecv() : 0;
    } catch (ChannelException e) {
      return 0;
    }
  }

  /**
   * Whether the peer has closed the connection, or its sending side, even if that has not been read
   * here yet; false where that is not known.
   */
  public static boolean isClosedByPeer(Channel channel) {
    try {
      return channel instanceof EpollSocketChannel socket
          && CLOSED_BY_PEER_STATES.contains(socket.tcpInfo().state());
    } catch (ChannelException e) {
      return false;
    }
  }

  /**
   * What the kernel holds of an open connection that has not been read here yet. A byte that it
   * finds is consumed, so that the connection has to be closed unless there is nothing.
   */
  public static UnreadInput unreadInput(Channel channel) {
    if (!(channel instanceof EpollSocketChannel connection)) {
      return UnreadInput.NONE;
    }
    Socket socket = new Socket(connection.fd().intValue());
    ByteBuffer firstByte = ByteBuffer.allocateDirect(1);
    try {
      int result = socket.recv(firstByte, 0, 1);
      if (result == WOULD_BLOCK) {
        return UnreadInput.NONE;
      }
      return result > 0 ? UnreadInput.BYTES : UnreadInput.END;
    } catch (IOException e) {
      return UnreadInput.END;
    }
  }

  /**
   * Acknowledges at once what has been read, rather than with the next write or a delay of some
   * tens of milliseconds. Until then a peer that has not switched Nagle's algorithm off holds back
   * what it has written since.
   */
  public static void acknowledgeNow(Channel channel) {
    if (!(channel instanceof EpollSocketChannel connection)) {
      return;
    }
    try {
      connection.config().setTcpQuickAck(true);
    } catch (ChannelException e) {
      LOG.log(Level.FINE, "no quick acknowledgement", e);
    }
  }

  /**
   * Closes a connection with a reset. One whose socket is closed is left alone, even if its
   * pipeline does not know yet: the option would fail, or be set on the socket that has its
   * descriptor's number by now.
   */
  public static void reset(Channel channel) {
    if (!channel.isOpen()) {
      return;
    }
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      LOG.warning("connection reset failed reason=" + e.getMessage());
    }
    channel.close();
  }

  /**
   * Accepts all connections that wait by now. Prevents the reset of those that a listening socket
   * leaves behind when it closes: their clients would lose requests. Cost: none; what arrives
   * between the last of them and the close is reset all the same.
   */
  public static void acceptPending(Channel listening) {
    if (!(listening instanceof EpollServerSocketChannel server)) {
      return;
    }
    Socket socket = new Socket(server.fd().intValue());
    byte[] address = new byte[MAX_ENCODED_ADDRESS_BYTES];
    try {
      int descriptor = socket.accept(address);
      while (descriptor >= 0) {
        server.pipeline().fireChannelRead(new EpollSocketChannel(descriptor));
        descriptor = socket.accept(address);
      }
    } catch (IOException e) {
      LOG.warning("accepting pending connections failed reason=" + e.getMessage());
    }
  }
}
