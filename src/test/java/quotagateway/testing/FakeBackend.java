package quotagateway.testing;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A fake backend that records the requests it receives and responds as the test specifies. */
public final class FakeBackend implements Closeable {

  public static final String OK_RESPONSE =
      "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\nContent-Length: 4\r\n\r\nfine";
  public static final String NOT_STARTED_RESPONSE =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

  /** Responds to a request and returns whether to keep the connection open. */
  public interface Responder {
    boolean respond(HttpMessage request, OutputStream out) throws IOException;
  }

  public final BlockingQueue<HttpMessage> received = new LinkedBlockingQueue<>();
  public volatile Responder responder = (request, out) -> TextStreams.write(out, OK_RESPONSE);
  private final ScriptedServer server = new ScriptedServer(50, this::serve);

  private void serve(InputStream in, OutputStream out, Socket socket) throws IOException {
    while (true) {
      HttpMessage request = HttpMessage.read(in);
      received.add(request);
      if (!responder.respond(request, out)) {
        socket.close();
        return;
      }
    }
  }

  public int port() {
    return server.port();
  }

  /** Stops accepting connections; established connections stay open. */
  public void stopListening() throws IOException {
    server.stopListening();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
