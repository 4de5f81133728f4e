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

/** A fake discovery server that accepts watches and sends the messages of the test. */
public final class FakeDiscovery implements Closeable {

  /** The head of the response to a watch. */
  public static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** The request lines of the watches whose response heads have been sent. */
  public final BlockingQueue<String> watches = new LinkedBlockingQueue<>();

  /** The watches whose response heads have been sent, the newest last; closed ones included. */
  private final List<Watch> startedWatches = new CopyOnWriteArrayList<>();

  /** Runs after the request of a watch is read and before its response head is sent. */
  public volatile Runnable beforeResponse = () -> {};

  private final ScriptedServer server = new ScriptedServer(50, this::serve);

  /** One watch on its connection. */
  public static final class Watch {

    private final Socket socket;

    private Watch(Socket socket) {
      this.socket = socket;
    }

    /** Sends each text as a separate chunk, in one write, so that the gateway sees no pause. */
    public void send(String... chunks) throws IOException {
      StringBuilder message = new StringBuilder();
      for (String text : chunks) {
        message.append(chunk(text));
      }
      TextStreams.write(out(), message.toString());
    }

    public OutputStream out() throws IOException {
      return socket.getOutputStream();
    }

    /** Returns whether the gateway has neither closed nor reset the connection so far. */
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
    startedWatches.add(new Watch(socket));
    watches.add(request.firstLine());
  }

  /** Returns the watch whose response head was sent last. */
  public Watch newestWatch() {
    return startedWatches.get(startedWatches.size() - 1);
  }

  /** Sends the text as one chunk to the newest watch. */
  public void send(String text) throws IOException {
    newestWatch().send(text);
  }

  /** Returns the text framed as one chunk of a chunked response. */
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
