package quotagateway.transport;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses in numeric form; names are not looked up, as there is no DNS. */
public final class NumericAddress {

  private static final int MAX_PORT = 65_535;

  private NumericAddress() {}

  /** The address of a text like {@code 10.0.0.4:7070}, or null where it is not one. */
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
