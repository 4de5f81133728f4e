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
 * A stand-in for discovery's agent on loopback, by the published protocol: each watch is told the
 * whole list first, unless it has that version, and then each change. It may fall silent, cut a
 * message, or end watches.
 */
public final class DiscoveryAgent implements Closeable {

  private static final int CHUNK = 64 * 1024;
  private static final long HEARTBEAT_MS = 2_000;

  private final ServerSocket server;
  private final ScheduledExecutorService heartbeats =
      Executors.newSingleThreadScheduledExecutor(DiscoveryAgent::daemon);
  private final List<Watch> watches = new CopyOnWriteArrayList<>();
  private final List<Watch> abandoned = new CopyOnWriteArrayList<>();
  private final AtomicInteger opened = new AtomicInteger();
  private final AtomicLong bytes = new AtomicLong();
  private volatile byte[] whole;
  private volatile long version;
  private volatile boolean silent;
  private volatile boolean failing;

  /** Listens at a port of its own with that whole list. */
  public DiscoveryAgent(String whole, long version) throws IOException {
    become(whole, version);
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    daemon(this::accept).start();
    byte[] empty = {'\n'};
    heartbeats.scheduleAtFixedRate(
        () -> watches.forEach(w -> w.write(empty, 1)),
        HEARTBEAT_MS,
        HEARTBEAT_MS,
        TimeUnit.MILLISECONDS);
  }

  public int port() {
    return server.getLocalPort();
  }

  /** Watches that were opened, all told. */
  public int opened() {
    return opened.get();
  }

  /** Watches that are open and have been told the list. */
  public int watching() {
    return watches.size();
  }

  /** Bytes of messages written, all told. */
  public long bytes() {
    return bytes.get();
  }

  /** Replaces the list that later watches are told first. */
  public void become(String list, long ofVersion) {
    whole = list.getBytes(StandardCharsets.UTF_8);
    version = ofVersion;
  }

  /** Tells all watches one message. */
  public void tell(String message) {
    byte[] told = message.getBytes(StandardCharsets.UTF_8);
    watches.forEach(w -> w.write(told, told.length));
  }

  /** Tells the first bytes of a message and ends the watches. */
  public void cut(String message, int after) {
    byte[] told = message.getBytes(StandardCharsets.UTF_8);
    watches.forEach(
        w -> {
          w.write(told, after);
          w.close();
        });
  }

  /** While silent, nothing is told, no heartbeat either, and new watches get no answer. */
  public void silence(boolean now) {
    silent = now;
  }

  /** Ends all watches. */
  public void endWatches() {
    watches.forEach(Watch::close);
  }

  /** Leaves all watches open and never tells them anything again. */
  public void abandonWatches() {
    abandoned.addAll(watches);
    watches.clear();
  }

  /** While failing, watches are ended, and new ones are answered by an error with this list. */
  public void fail(boolean now) {
    failing = now;
    if (now) {
      endWatches();
    }
  }

  @Override
  public void close() throws IOException {
    heartbeats.shutdownNow();
    server.close();
    endWatches();
    abandoned.forEach(Watch::close);
  }

  private static Thread daemon(Runnable work) {
    Thread thread = new Thread(work, "discovery agent");
    thread.setDaemon(true);
    return thread;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        daemon(() -> begin(socket)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void begin(Socket socket) {
    try {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String request = in.readLine();
      opened.incrementAndGet();
      if (request == null || silent) {
        return;
      }
      Watch watch = new Watch(socket, socket.getOutputStream());
      if (failing) {
        watch.error();
        return;
      }
      watch.head();
      if (!request.contains("index=" + version + ' ')) {
        watch.write(whole, whole.length);
      }
      watches.add(watch);
    } catch (IOException e) {
      // The gateway has ended the watch.
    }
  }

  /** One watch; it is dropped when its connection ends. */
  private final class Watch {
    private final Socket socket;
    private final OutputStream out;

    Watch(Socket socket, OutputStream out) {
      this.socket = socket;
      this.out = out;
    }

    void head() throws IOException {
      out.write(head("200 OK").getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }

    /** An error whose body is a list without any backend, in one write with its head. */
    void error() throws IOException {
      String list = EndpointListJson.list((int) version + 1, true) + "\n";
      String response = head("503 Service Unavailable") + FakeDiscovery.chunk(list) + "0\r\n\r\n";
      out.write(response.getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }

    private static String head(String status) {
      return "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    synchronized void write(byte[] message, int length) {
      if (silent) {
        return;
      }
      try {
        for (int from = 0; from < length; from += CHUNK) {
          int part = Math.min(CHUNK, length - from);
          out.write((Integer.toHexString(part) + "\r\n").getBytes(StandardCharsets.US_ASCII));
          out.write(message, from, part);
          out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
          bytes.addAndGet(part);
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
        // It is gone either way.
      }
    }
  }
}
