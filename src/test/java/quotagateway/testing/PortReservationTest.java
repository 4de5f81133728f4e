package quotagateway.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import org.junit.jupiter.api.Test;

/** Tests that a reserved port is kept from connections and left to listeners. */
class PortReservationTest {

  @Test
  void outgoingConnectionCannotTakeTheReservedPort() throws IOException {
    try (PortReservation reservation = new PortReservation();
        Socket outgoing = new Socket()) {
      outgoing.setReuseAddress(false);
      assertThrows(BindException.class, () -> outgoing.bind(reservation.address()));
    }
  }

  @Test
  void listenersShareTheReservedPort() throws IOException {
    try (PortReservation reservation = new PortReservation();
        ServerSocket withReuseAddress = new ServerSocket()) {
      withReuseAddress.setReuseAddress(true);
      withReuseAddress.bind(reservation.address());
      assertEquals(reservation.port(), withReuseAddress.getLocalPort());
    }
    try (PortReservation reservation = new PortReservation();
        ServerSocket first = sharedListener(reservation);
        ServerSocket second = sharedListener(reservation)) {
      assertEquals(first.getLocalPort(), second.getLocalPort());
    }
  }

  private static ServerSocket sharedListener(PortReservation reservation) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
    listener.bind(reservation.address());
    return listener;
  }
}
