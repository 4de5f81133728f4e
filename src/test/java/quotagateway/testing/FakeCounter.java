package quotagateway.testing;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.UnaryOperator;

/** A fake shared counter that counts, or replies as the test specifies. */
public final class FakeCounter implements Closeable {

  /** The lines of the calls received, without pings. */
  public final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

  /** The output streams of calls left unanswered, to which the test writes its own replies. */
  public final BlockingQueue<OutputStream> unanswered = new LinkedBlockingQueue<>();

  /** Returns the reply to a call without its line terminator, or null to leave it unanswered. */
  public volatile UnaryOperator<String> responder = this::count;

  private final Map<String, Double> counts = new ConcurrentHashMap<>();
  private final ScriptedServer server = new ScriptedServer(50, this::serve);

  /** Replies to the calls of one connection until it is closed. */
  public void serve(InputStream in, OutputStream out, Socket socket) throws IOException {
    while (true) {
      String line = TextStreams.readLine(in);
      if (line.equals("ping")) {
        TextStreams.write(out, "pong\r\n");
        continue;
      }
      calls.add(line);
      String reply = responder.apply(line);
      if (reply == null) {
        unanswered.add(out);
      } else {
        TextStreams.write(out, reply + "\r\n");
      }
    }
  }

  /** Applies the increment of a call and returns the reply with the new total. */
  public String count(String line) {
    String[] parts = line.split(" ", -1);
    return "ok " + counts.merge(parts[1], Double.valueOf(parts[2]), Double::sum);
  }

  public int port() {
    return server.port();
  }

  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
