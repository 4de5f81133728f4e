package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;

/** Tests the parsing of socket addresses. */
class SocketAddressesTest {

  @Test
  void parsesANumericAddressAndPort() {
    assertEquals(new InetSocketAddress("10.1.0.18", 7070), SocketAddresses.parse("10.1.0.18:7070"));
    assertEquals(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        SocketAddresses.parse("127.0.0.1:0"));
  }

  /** Host names are rejected too, because a name lookup would block the event loop. */
  @Test
  void returnsNullForAnyOtherText() {
    for (String text :
        new String[] {
          "",
          "nowhere",
          "localhost:80",
          "10.1.0.18",
          "10.1.0.18:",
          "10.1.0.18:65536",
          "10.1.0.18:-1"
        }) {
      assertNull(SocketAddresses.parse(text), text);
    }
  }
}
