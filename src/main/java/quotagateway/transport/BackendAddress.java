package quotagateway.transport;

import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import quotagateway.endpoint.Endpoint;

/**
 * The address and port of a backend as one number, of which many can be kept in little memory: the
 * four bytes of an IPv4 address, then the 16 bits of the port.
 */
public final class BackendAddress {

  private static final int PORT_BITS = 16;
  private static final int PORT_MASK = (1 << PORT_BITS) - 1;

  private BackendAddress() {}

  /**
   * Encodes an address.
   *
   * @return the number; {@link Endpoint#NO_ADDRESS} for null and for an address that is not IPv4
   */
  public static long encode(InetSocketAddress address) {
    if (address == null || !(address.getAddress() instanceof Inet4Address ip)) {
      return Endpoint.NO_ADDRESS;
    }
    long number = 0;
    for (byte b : ip.getAddress()) {
      number = (number << Byte.SIZE) | (b & 0xff);
    }
    return (number << PORT_BITS) | address.getPort();
  }

  /** Decodes what {@link #encode} gave for an address. */
  public static InetSocketAddress decode(long encoded) {
    long number = encoded >>> PORT_BITS;
    byte[] ip = {
      (byte) (number >>> 24), (byte) (number >>> 16), (byte) (number >>> 8), (byte) number
    };
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), (int) encoded & PORT_MASK);
    } catch (UnknownHostException e) {
      throw new AssertionError("four bytes are always an address", e);
    }
  }
}
