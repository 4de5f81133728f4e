package quotagateway.testing;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** Stands for discovery: accepts watches, and sends what the test has it send. */
public final class FakeDiscovery implements Closeable {

  /** Begins a response to a watch. */
  public static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** The request lines of the watches, once their responses have begun. */
  public final BlockingQueue<String> watches = new LinkedBlockingQueue<>();

  /** The connections of all watches whose responses have begun, the newest last. */
  private final List<Watch> open = new CopyOnWriteArrayList<>();

  /** Runs when the request of a watch has come; its response waits until this returns. */
  public volatile Runnable beforeResponse = () -> {};

  private final ScriptedServer server = new ScriptedServer(50, this::serve);

  /** One watch on its connection. */
  public static final class Watch {

    private final Socket socket;

    private Watch(Socket socket) {
      this.socket = socket;
    }

    /** Sends each text as a chunk of its own, all in one write: the gateway sees no pause. */
    public void send(String... chunks) throws IOException {
      StringBuilder bytes = new StringBuilder();
      for (String chunk : chunks) {
        bytes.append(chunk(chunk));
      }
      TextStreams.write(out(), bytes.toString());
    }

    public OutputStream out() throws IOException {
      return socket.getOutputStream();
    }

    /** Whether the gateway has neither closed nor reset the connection by now. */
    public boolean isOpen() throws IOException {
      socket.setSoTimeout(1);
      try {
        return socket.getInputStream().read() >= 0;
      } catch (SocketTimeoutException e) {
        return true;
      } catch (SocketException e) {
        return false;
      }
    }
  }

  private void serve(InputStream in, OutputStream out, Socket socket) throws IOException {
    HttpMessage request = HttpMessage.read(in);
    beforeResponse.run();
    TextStreams.write(out, RESPONSE_HEAD);
    open.add(new Watch(socket));
    watches.add(request.firstLine());
  }

  /** The watch whose response was the last to begin. */
  public Watch newestWatch() {
    return open.get(open.size() - 1);
  }

  /** Sends text as one chunk to the newest watch. */
  public void send(String text) throws IOException {
    newestWatch().send(text);
  }

  /** Text as a chunk of a response. */
  public static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  public int port() {
    return server.port();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
