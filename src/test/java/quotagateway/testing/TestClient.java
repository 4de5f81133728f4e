package quotagateway.testing;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;

/** An HTTP client on a single connection. */
public final class TestClient implements Closeable {

  private static final int READ_TIMEOUT_MS = 10_000;

  public final Socket socket;
  private final InputStream in;

  public TestClient(InetSocketAddress address) throws IOException {
    socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(READ_TIMEOUT_MS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  public void send(String text) throws IOException {
    TextStreams.write(socket.getOutputStream(), text);
  }

  public HttpMessage receive() throws IOException {
    return HttpMessage.read(in);
  }

  /** Sends a request and reads its response. */
  public HttpMessage exchange(String request) throws IOException {
    send(request);
    return receive();
  }

  /** Reads until the connection ends and returns the number of bytes read. */
  public int readRemainingByteCount() throws IOException {
    return in.readAllBytes().length;
  }

  /** Waits for input and returns whether the connection ended without further bytes. */
  public boolean isClosedByPeer() throws IOException {
    try {
      return in.read() < 0;
    } catch (SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
