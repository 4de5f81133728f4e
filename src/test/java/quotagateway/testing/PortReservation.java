package quotagateway.testing;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;

/**
 * A loopback port that is reserved for processes which listen on it one after another or at the
 * same time. Its socket is bound but does not listen, and listeners share the port with it. A port
 * that is merely found free may be taken by an outgoing connection before a process listens on it.
 */
public final class PortReservation implements Closeable {

  private final Socket socket = new Socket();

  /** Reserves a port that the kernel chooses. */
  public PortReservation() throws IOException {
    socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** Returns the reserved address. */
  public InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /** Returns the reserved port. */
  public int port() {
    return socket.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
