package quotagateway.transport;

import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import quotagateway.endpoint.Endpoint;

/**
 * Encodes the IPv4 address and port of a backend as a {@code long}, so that many addresses take
 * little memory: the four bytes of the IP address, followed by the 16 bits of the port.
 */
public final class BackendAddress {

  private static final int PORT_BITS = 16;
  private static final int PORT_MASK = (1 << PORT_BITS) - 1;

  private BackendAddress() {}

  /**
   * Encodes an address.
   *
   * @return the encoded address, or {@link Endpoint#NO_ADDRESS} for null and for an address that is
   *     not IPv4
   */
  public static long encode(InetSocketAddress address) {
    if (address == null || !(address.getAddress() instanceof Inet4Address ip)) {
      return Endpoint.NO_ADDRESS;
    }
    long ipBits = 0;
    for (byte b : ip.getAddress()) {
      ipBits = (ipBits << Byte.SIZE) | (b & 0xff);
    }
    return (ipBits << PORT_BITS) | address.getPort();
  }

  /** Decodes an address that was encoded by {@link #encode}. */
  public static InetSocketAddress decode(long encoded) {
    long ipBits = encoded >>> PORT_BITS;
    byte[] ip = {
      (byte) (ipBits >>> 24), (byte) (ipBits >>> 16), (byte) (ipBits >>> 8), (byte) ipBits
    };
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), (int) encoded & PORT_MASK);
    } catch (UnknownHostException e) {
      throw new AssertionError("four bytes are always a valid IPv4 address", e);
    }
  }
}
