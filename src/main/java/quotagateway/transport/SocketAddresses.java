package quotagateway.transport;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses socket addresses in the text format of the configuration and of discovery. */
public final class SocketAddresses {

  private static final int MAX_PORT = 65_535;

  private SocketAddresses() {}

  /**
   * Parses a numeric IP address and a port, such as {@code 10.1.0.18:7070}. Host names are not
   * resolved, because the platform has no DNS.
   *
   * @return the address, or null if the text does not have this format
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      return null;
    }
    byte[] ip = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (ip == null) {
      return null;
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (port < 0 || port > MAX_PORT) {
        return null;
      }
      return new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (NumberFormatException | UnknownHostException e) {
      return null;
    }
  }
}
