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
 * Socket state that the kernel has before the channel does, and socket operations that Netty's
 * channels do not offer. Without native epoll, queries return a neutral value. To be called on the
 * channel's event loop.
 */
public final class KernelSockets {

  private static final Logger LOG = Logger.getLogger(KernelSockets.class.getName());

  /** Linux's numbers for TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK and TCP_CLOSING. */
  private static final Set<Integer> CLOSED_BY_PEER_STATES = Set.of(7, 8, 9, 11);

  /** Result of a read by Netty's native transport if no input is available. */
  private static final int WOULD_BLOCK = 0;

  /** Size of the longest address in Netty's encoding, including the length of the address. */
  private static final int MAX_ENCODED_ADDRESS_BYTES = 26;

  /** Receives the byte that {@link #unreadInput} consumes; one for each event loop. */
  private static final ThreadLocal<ByteBuffer> FIRST_BYTE =
      ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(1));

  private KernelSockets() {}

  /** Input of a connection that is in the kernel and has not been read. */
  public enum UnreadInput {
    /** No input, or unknown. */
    NONE,
    /** Bytes, which the peer's close may follow. */
    BYTES,
    /** The peer's close, or a reset. */
    END
  }

  /**
   * Returns the time since the kernel received the newest bytes of a connection, in milliseconds,
   * or 0 if it is unknown. An event loop that is short of CPU reads late, and only the kernel knows
   * how late.
   */
  public static double msSinceLastReceive(Channel channel) {
    try {
      return channel instanceof EpollSocketChannel socket ? socket.tcpInfo().lastDataRecv() : 0;
    } catch (ChannelException e) {
      return 0;
    }
  }

  /**
   * Returns whether the peer has closed the connection or its sending side, even if the channel has
   * not read the close yet. Returns false if that is unknown.
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
   * Returns which input of an open connection the kernel holds that the channel has not read yet.
   * If there are bytes, the call consumes one, so the caller has to close the connection unless the
   * result is {@link UnreadInput#NONE}.
   */
  public static UnreadInput unreadInput(Channel channel) {
    if (!(channel instanceof EpollSocketChannel connection)) {
      return UnreadInput.NONE;
    }
    Socket socket = new Socket(connection.fd().intValue());
    ByteBuffer firstByte = FIRST_BYTE.get();
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
   * Acknowledges the bytes read so far at once, instead of with the next write or after some tens
   * of milliseconds. Until the acknowledgment, a peer that uses Nagle's algorithm holds back what
   * it has written since.
   */
  public static void acknowledgeNow(Channel channel) {
    if (!(channel instanceof EpollSocketChannel connection)) {
      return;
    }
    try {
      connection.config().setTcpQuickAck(true);
    } catch (ChannelException e) {
      LOG.log(Level.FINE, "could not request an immediate acknowledgment", e);
    }
  }

  /**
   * Closes a connection with a reset. Does nothing if the socket is already closed, even if the
   * pipeline has not been notified yet: setting the option would fail, or would affect another
   * socket that has been given the same descriptor number.
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
   * Accepts all pending connections of a listening socket that is about to close. The kernel resets
   * connections that are still pending at the close, and their clients would lose requests.
   * Connections that arrive between the last accept and the close are still reset.
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
