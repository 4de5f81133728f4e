package quotagateway.testing;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server on an ephemeral loopback port that runs a script for each connection, each on its own
 * thread.
 */
public final class ScriptedServer implements Closeable {

  private final ServerSocket serverSocket;
  private final Script script;
  private final List<Socket> connections = new CopyOnWriteArrayList<>();

  /** Handles a connection, which stays open when the script returns. */
  public interface Script {
    void run(InputStream in, OutputStream out, Socket socket) throws IOException;
  }

  private interface IoTask {
    void run() throws IOException;
  }

  /**
   * Starts listening.
   *
   * @param backlog maximum number of connections that the kernel queues before they are accepted
   */
  public ScriptedServer(int backlog, Script script) {
    this.script = script;
    try {
      serverSocket = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    startThread(this::acceptConnections);
  }

  public int port() {
    return serverSocket.getLocalPort();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) serverSocket.getLocalSocketAddress();
  }

  private void acceptConnections() throws IOException {
    while (true) {
      Socket socket = serverSocket.accept();
      connections.add(socket);
      startThread(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    script.run(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream(), socket);
  }

  private static void startThread(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The peer or the end of the test closed the socket.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Stops accepting connections; established connections stay open. */
  public void stopListening() throws IOException {
    serverSocket.close();
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
