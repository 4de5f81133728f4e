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
 * Listens on a loopback port of its own and runs a script for each connection, on a thread each.
 */
public final class ScriptedServer implements Closeable {

  private final ServerSocket listening;
  private final Script script;
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();

  /** What the server does with a connection, which stays open when the script returns. */
  public interface Script {
    void run(InputStream in, OutputStream out, Socket socket) throws IOException;
  }

  private interface Work {
    void run() throws IOException;
  }

  /**
   * Begins to listen.
   *
   * @param backlog how many connections the kernel holds that are not accepted yet
   */
  public ScriptedServer(int backlog, Script script) {
    this.script = script;
    try {
      listening = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    startThread(this::accept);
  }

  public int port() {
    return listening.getLocalPort();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listening.getLocalSocketAddress();
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listening.accept();
      accepted.add(socket);
      startThread(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    script.run(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream(), socket);
  }

  private static void startThread(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // The other side, or the end of the test, closed the socket.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Refuses new connections from now on; those that it has stay open. */
  public void stopListening() throws IOException {
    listening.close();
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : accepted) {
      socket.close();
    }
  }
}
