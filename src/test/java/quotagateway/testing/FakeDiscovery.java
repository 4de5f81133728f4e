package quotagateway.testing;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
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

  /** The connections of all watches so far, the newest last. */
  public final List<OutputStream> watchers = new CopyOnWriteArrayList<>();

  private final ScriptedServer server = new ScriptedServer(50, this::serve);

  private void serve(InputStream in, OutputStream out, Socket socket) throws IOException {
    HttpMessage request = HttpMessage.read(in);
    TextStreams.write(out, RESPONSE_HEAD);
    watchers.add(out);
    watches.add(request.firstLine());
  }

  /** Sends text as one chunk to the newest watch. */
  public void send(String text) throws IOException {
    TextStreams.write(watchers.get(watchers.size() - 1), chunk(text));
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
