package quotagateway.transport;

import io.netty.channel.ChannelException;
import java.net.BindException;
import java.net.NoRouteToHostException;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

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
   * The native transport names the error's number, whose text depends on the process's language.
   */
  private static final Pattern ERROR_NUMBER = Pattern.compile("error\\(-(\\d+)\\)");

  private static final int EAGAIN = 11;
  private static final int ENOMEM = 12;
  private static final int ENFILE = 23;
  private static final int EMFILE = 24;
  private static final int EADDRINUSE = 98;
  private static final int EADDRNOTAVAIL = 99;
  private static final int ENETDOWN = 100;
  private static final int ECONNRESET = 104;
  private static final int ENOBUFS = 105;

  private static final Set<Integer> LOCAL_ERRORS =
      Set.of(EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRINUSE, EADDRNOTAVAIL, ENETDOWN, ENOBUFS);

  /**
   * Returns what the cause of a failed connect tells. A missing route counts as a failure of this
   * machine, although the native transport reports an unreachable host alike. A host that has gone
   * shows by timeouts.
   */
  public static ConnectFailure of(Throwable cause) {
    if (cause instanceof ChannelException
        || cause instanceof BindException
        || cause instanceof NoRouteToHostException) {
      return LOCAL;
    }
    String text = String.valueOf(cause.getMessage());
    Matcher number = ERROR_NUMBER.matcher(text);
    if (number.find()) {
      return ofErrorNumber(Integer.parseInt(number.group(1)));
    }
    return text.toLowerCase(Locale.ROOT).contains("reset") ? RESET : UNREACHABLE;
  }

  private static ConnectFailure ofErrorNumber(int number) {
    if (number == ECONNRESET) {
      return RESET;
    }
    return LOCAL_ERRORS.contains(number) ? LOCAL : UNREACHABLE;
  }
}
