package quotagateway.transport;

import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import quotagateway.endpoint.Endpoint;

/**
 * A backend's address and port as one number, of which many can be kept: IPv4, as the sockets here.
 */
public final class BackendAddress {

  private static final int PORT_BITS = 16;
  private static final int PORT_MASK = (1 << PORT_BITS) - 1;

  private BackendAddress() {}

  /** The number of an address and port; {@link Endpoint#NOWHERE} for any other, and for none. */
  public static long encode(InetSocketAddress address) {
    if (address == null || !(address.getAddress() instanceof Inet4Address ip)) {
      return Endpoint.NO_ADDRESS;
    }
    long number = 0;
    for (byte b : ip.getAddress()) {
      number = number << Byte.SIZE | b & 0xff;
    }
    return number << PORT_BITS | address.getPort();
  }

  public static InetSocketAddress decode(long place) {
    long number = place >>> PORT_BITS;
    byte[] ip = {
      (byte) (number >>> 24), (byte) (number >>> 16), (byte) (number >>> 8), (byte) number
    };
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), (int) place & PORT_MASK);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("no place: " + place, e);
    }
  }
}
