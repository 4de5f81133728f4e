package quotagateway.testing;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A fake discovery agent on loopback that speaks the published protocol. Each watch first receives
 * the complete list, unless the watch asks for changes to that version, and then each change. A
 * test can silence the agent, truncate a message or end watches.
 */
public final class DiscoveryAgent implements Closeable {

  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final long HEARTBEAT_INTERVAL_MS = 2_000;

  private final ServerSocket server;
  private final ScheduledExecutorService heartbeats =
      Executors.newSingleThreadScheduledExecutor(DiscoveryAgent::daemonThread);
  private final List<Watch> watches = new CopyOnWriteArrayList<>();
  private final List<Watch> abandonedWatches = new CopyOnWriteArrayList<>();
  private final AtomicInteger openedWatches = new AtomicInteger();
  private final AtomicLong bytesWritten = new AtomicLong();
  private volatile byte[] snapshot;
  private volatile long version;
  private volatile boolean silent;
  private volatile boolean failing;

  /**
   * Listens on an ephemeral port.
   *
   * @param list snapshot that each new watch receives first
   * @param version version of that snapshot
   */
  public DiscoveryAgent(String list, long version) throws IOException {
    setSnapshot(list, version);
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    daemonThread(this::acceptConnections).start();
    byte[] heartbeat = {'\n'};
    heartbeats.scheduleAtFixedRate(
        () -> watches.forEach(watch -> watch.write(heartbeat, 1)),
        HEARTBEAT_INTERVAL_MS,
        HEARTBEAT_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  public int port() {
    return server.getLocalPort();
  }

  /** Returns the number of watches requested so far. */
  public int openedWatches() {
    return openedWatches.get();
  }

  /** Returns the number of open watches that have received the list or have its version. */
  public int openWatches() {
    return watches.size();
  }

  /** Returns the number of message bytes written so far, without chunk framing. */
  public long bytesWritten() {
    return bytesWritten.get();
  }

  /** Replaces the snapshot that later watches receive first. */
  public void setSnapshot(String list, long newVersion) {
    snapshot = list.getBytes(StandardCharsets.UTF_8);
    version = newVersion;
  }

  /** Sends a message to all open watches. */
  public void send(String message) {
    byte[] encoded = message.getBytes(StandardCharsets.UTF_8);
    watches.forEach(watch -> watch.write(encoded, encoded.length));
  }

  /** Sends the first {@code length} bytes of a message to all open watches and ends them. */
  public void sendTruncated(String message, int length) {
    byte[] encoded = message.getBytes(StandardCharsets.UTF_8);
    watches.forEach(
        watch -> {
          watch.write(encoded, length);
          watch.close();
        });
  }

  /**
   * Sets whether the agent is silent. A silent agent sends neither messages nor heartbeats, and
   * does not respond to new watches.
   */
  public void setSilent(boolean enabled) {
    silent = enabled;
  }

  /** Closes the connections of all watches. */
  public void endWatches() {
    watches.forEach(Watch::close);
  }

  /** Sends nothing more to the present watches but keeps their connections open. */
  public void abandonWatches() {
    abandonedWatches.addAll(watches);
    watches.clear();
  }

  /**
   * Sets whether the agent fails. Failing ends all watches; while the agent fails, each new watch
   * receives an error response whose body is an empty snapshot with the next version.
   */
  public void setFailing(boolean enabled) {
    failing = enabled;
    if (enabled) {
      endWatches();
    }
  }

  @Override
  public void close() throws IOException {
    heartbeats.shutdownNow();
    server.close();
    endWatches();
    abandonedWatches.forEach(Watch::close);
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "discovery agent");
    thread.setDaemon(true);
    return thread;
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        daemonThread(() -> serve(socket)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String request = in.readLine();
      openedWatches.incrementAndGet();
      if (request == null || silent) {
        return;
      }
      Watch watch = new Watch(socket, socket.getOutputStream());
      if (failing) {
        watch.writeError();
        return;
      }
      watch.writeHead();
      if (!request.contains("index=" + version + ' ')) {
        watch.write(snapshot, snapshot.length);
      }
      watches.add(watch);
    } catch (IOException e) {
      // The gateway closed the connection.
    }
  }

  /** One watch on its connection; a failed write closes the connection and removes the watch. */
  private final class Watch {
    private final Socket socket;
    private final OutputStream out;

    Watch(Socket socket, OutputStream out) {
      this.socket = socket;
      this.out = out;
    }

    void writeHead() throws IOException {
      out.write(responseHead("200 OK").getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }

    /**
     * Writes an error response whose body is a list without endpoints, head and body in one write.
     */
    void writeError() throws IOException {
      String list = EndpointListJson.list((int) version + 1, true) + "\n";
      String response =
          responseHead("503 Service Unavailable") + FakeDiscovery.chunk(list) + "0\r\n\r\n";
      out.write(response.getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }

    private static String responseHead(String status) {
      return "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    synchronized void write(byte[] message, int length) {
      if (silent) {
        return;
      }
      try {
        for (int from = 0; from < length; from += MAX_CHUNK_BYTES) {
          int chunkLength = Math.min(MAX_CHUNK_BYTES, length - from);
          out.write(
              (Integer.toHexString(chunkLength) + "\r\n").getBytes(StandardCharsets.US_ASCII));
          out.write(message, from, chunkLength);
          out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
          bytesWritten.addAndGet(chunkLength);
        }
        out.flush();
      } catch (IOException e) {
        close();
      }
    }

    void close() {
      watches.remove(this);
      try {
        socket.close();
      } catch (IOException e) {
        // The connection is unusable either way.
      }
    }
  }
}
