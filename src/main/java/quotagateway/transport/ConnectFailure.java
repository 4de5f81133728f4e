package quotagateway.transport;

import io.netty.channel.ChannelException;
import io.netty.channel.ConnectTimeoutException;
import java.util.Locale;

/** What a failed connect tells about the peer. */
public enum ConnectFailure {

  /**
   * A call of this machine failed, as for lack of a port, a descriptor or a route. It says nothing
   * about the peer, and often passes within moments.
   */
  LOCAL,

  /** The peer refused the connection, or nothing answered. */
  UNREACHABLE,

  /** A peer accepted the connection and dropped it, or a middlebox did. */
  RESET;

  /**
   * Returns what the cause of a failed connect tells. The texts are those of the system's errors,
   * as neither transport of Netty hands out the error's number.
   */
  public static ConnectFailure of(Throwable cause) {
    if (cause instanceof ConnectTimeoutException) {
      return UNREACHABLE;
    }
    if (cause instanceof ChannelException) {
      return LOCAL;
    }
    String text = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
    if (text.contains("reset")) {
      return RESET;
    }
    boolean peerAtFault =
        text.contains("refused") || text.contains("timed out") || text.contains("no route to host");
    return peerAtFault ? UNREACHABLE : LOCAL;
  }
}
