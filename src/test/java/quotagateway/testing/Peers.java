package quotagateway.testing;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import quotagateway.config.GatewayConfig;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.config.JsonFields;
import quotagateway.server.GatewayServer;

/**
 * Small peers of a front door on loopback, each with its script: backends, counter, discovery,
 * clients.
 */
public final class Peers implements Closeable {

  public static final String OK =
      "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\nContent-Length: 4\r\n\r\nfine";
  public static final String NOT_STARTED =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

  public static final int FEW_SOCKETS = 160;

  /** A message as it came: first line with headers, and body. */
  public record Message(String head, byte[] body) {
    public String firstLine() {
      return head.substring(0, head.indexOf("\r\n"));
    }

    public int status() {
      return Integer.parseInt(head.split(" ")[1]);
    }

    public String header(String name) {
      String start = name.toLowerCase(Locale.ROOT) + ":";
      return head.lines()
          .filter(l -> l.toLowerCase(Locale.ROOT).startsWith(start))
          .map(l -> l.substring(name.length() + 1).trim())
          .findFirst()
          .orElse(null);
    }

    public String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** What a peer does with a connection. */
  public interface Script {
    void run(InputStream in, OutputStream out, Socket socket) throws IOException;
  }

  /** What a backend does with a request: true keeps the connection. */
  public interface Answer {
    boolean to(Message request, OutputStream out) throws IOException;
  }

  public final BlockingQueue<Message> atBackend = new LinkedBlockingQueue<>();
  public final BlockingQueue<String> atCounter = new LinkedBlockingQueue<>();

  /** The connections on which a call of the counter waits for the test's own answer. */
  public final BlockingQueue<OutputStream> unanswered = new LinkedBlockingQueue<>();

  public final BlockingQueue<String> watches = new LinkedBlockingQueue<>();
  public final List<OutputStream> watchers = new CopyOnWriteArrayList<>();
  public volatile Answer answer = (request, out) -> write(out, OK);
  public volatile UnaryOperator<String> counting = this::count;
  private final Map<String, Double> counts = new ConcurrentHashMap<>();
  private final List<Closeable> open = new CopyOnWriteArrayList<>();
  public final ServerSocket backend = listen(50, this::serveBackend);
  public final ServerSocket counter = listen(50, this::serveCounter);
  public final ServerSocket discovery = listen(50, this::serveDiscovery);
  private GatewayServer door;
  private final Path folder = temporary();

  private static Path temporary() {
    try {
      Path folder = Files.createTempDirectory("peers");
      folder.toFile().deleteOnExit();
      return folder;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  public static boolean write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    return true;
  }

  /** Listens on a port of its own and runs the script for each connection. */
  public ServerSocket listen(int backlog, Script script) {
    try {
      ServerSocket server = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
      open.add(server);
      thread(
          () -> {
            while (true) {
              Socket socket = server.accept();
              open.add(socket);
              thread(
                  () ->
                      script.run(
                          new BufferedInputStream(socket.getInputStream()),
                          socket.getOutputStream(),
                          socket));
            }
          });
      return server;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Ends what listens on that port; who connects is refused from then on. */
  public void closeListeners(int port) throws IOException {
    for (Closeable c : open) {
      if (c instanceof ServerSocket server && server.getLocalPort() == port) {
        server.close();
      }
    }
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void thread(Work work) {
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

  private void serveBackend(InputStream in, OutputStream out, Socket socket) throws IOException {
    while (true) {
      Message request = read(in);
      atBackend.add(request);
      if (!answer.to(request, out)) {
        socket.close();
        return;
      }
    }
  }

  public void serveCounter(InputStream in, OutputStream out, Socket socket) throws IOException {
    while (true) {
      String line = line(in);
      if (line.equals("ping")) {
        write(out, "pong\r\n");
        continue;
      }
      atCounter.add(line);
      String reply = counting.apply(line);
      if (reply == null) {
        unanswered.add(out);
      } else {
        write(out, reply + "\r\n");
      }
    }
  }

  public String count(String line) {
    String[] parts = line.split(" ");
    return "ok " + counts.merge(parts[1], Double.valueOf(parts[2]), Double::sum);
  }

  private void serveDiscovery(InputStream in, OutputStream out, Socket socket) throws IOException {
    Message request = read(in);
    write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    watchers.add(out);
    watches.add(request.firstLine());
  }

  /** Sends bytes of the list as one chunk to the newest watch. */
  public void tell(String bytes) throws IOException {
    write(
        watchers.get(watchers.size() - 1),
        Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n");
  }

  public static String entry(String id, int port, String state) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"a\",\"kind\":\"k\","
        + "\"cell\":0,\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":0}";
  }

  public static String list(int version, boolean full, String... entries) {
    return "{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}";
  }

  /** The configuration, with the given backends in its list. */
  public String config(String... entries) {
    return """
        {"name":"n0","listen":"127.0.0.1:0","mgmt":"127.0.0.1:0",
         "discovery":"127.0.0.1:%d","counter":"127.0.0.1:%d",
         "seed":"8c1f30d27a5be964","known":%s,
         "settings":{"Balancers":2,"SelfIndex":0,"MyZone":"a","Discovery":"push",
          "Bounds":{"MaxAttempts":6,"Cancel":true,"MaxOpen":1000,"DialTimeoutMs":250,"ConnIdleMs":30000},
          "Extra":{"Counter":true,"CountLimitMs":50,"MaxUnits":8,"CostAfter":true},
          "Rules":{"AnswerSlackMs":8,"ColdFrom":0.2,"ColdMs":9000,"TipMultiple":3,"TipAfterMs":2000},
          "Profiles":[
           {"Name":"quote","Repeat":"pure","AimMs":1500,"DeadlineMs":4000,"Value":1,"Group":"all"},
           {"Name":"buy","Repeat":"token","AimMs":1500,"DeadlineMs":4000,"Value":5,"Group":"all",
            "RepeatWindowMs":4000}],
          "Tariffs":[{"Name":"basic","Refill":400,"PeakUnits":4000,"WorthFactor":1,"OverrunCost":1}]}}
        """
        .formatted(discovery.getLocalPort(), counter.getLocalPort(), list(7, true, entries));
  }

  /** The configuration with this test's one backend and limits that leave few places. */
  public String smallConfig() {
    return config(entry("s-1", backend.getLocalPort(), "active"))
        .replace(
            "\"seed\"",
            "\"limits\":{\"cores\":1,\"memory_mb\":128,\"sockets\":" + FEW_SOCKETS + "},\"seed\"");
  }

  /** Starts the front door with this test's one backend. */
  public GatewayServer start() throws Exception {
    return start(config(entry("s-1", backend.getLocalPort(), "active")));
  }

  public GatewayServer start(String config) throws Exception {
    GatewayServer before = door;
    door = GatewayServer.start(parse(config), folder);
    if (before != null) {
      open.add(before::stop);
    }
    return door;
  }

  /** Starts a second process's front door beside the first, at the same address. */
  public GatewayServer startBeside() throws Exception {
    return start(
        config(entry("s-1", backend.getLocalPort(), "active"))
            .replace(
                "\"listen\":\"127.0.0.1:0\"",
                "\"listen\":\"127.0.0.1:" + port(door.address()) + "\""));
  }

  private static int port(SocketAddress address) {
    return ((InetSocketAddress) address).getPort();
  }

  /** An operator's one call: the status of its answer. */
  public int operator(String call) throws IOException {
    try (Client operator = new Client((InetSocketAddress) door.adminAddress())) {
      return operator.ask(call + " HTTP/1.1\r\nHost: x\r\n\r\n").status();
    }
  }

  /** An operator that has connected. */
  public Client operator() throws IOException {
    Client client = new Client((InetSocketAddress) door.adminAddress());
    open.add(client);
    return client;
  }

  public static GatewayConfig parse(String json) throws IOException, InvalidConfigurationException {
    try (JsonParser in = new JsonFactory().createParser(json)) {
      in.nextToken();
      return GatewayConfig.of(JsonFields.readObject(in));
    }
  }

  public Client client() throws IOException {
    Client client = new Client((InetSocketAddress) door.address());
    open.add(client);
    return client;
  }

  public static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
    T found = queue.poll(10, TimeUnit.SECONDS);
    if (found == null) {
      throw new AssertionError("nothing came in 10 s");
    }
    return found;
  }

  public static String get(String id, int timeoutMs) {
    return "GET /quote/17?a=%20b&c HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: "
        + id
        + "\r\nRequest-Class: quote\r\nX-Plan: basic\r\nX-Customer: 00000000b4d65521\r\nRequest-Timeout-Ms: "
        + timeoutMs
        + "\r\nX-Quota: units=2,spread=2,first=1\r\n\r\n";
  }

  public static String post(String id, String body) {
    return "POST /buy/9 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: "
        + id
        + "\r\nRequest-Class: buy\r\nX-Plan: basic\r\nX-Customer: 00000000b4d65521"
        + "\r\nRequest-Timeout-Ms: 3000\r\nIdempotency-Key: key-"
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\nX-Quota: units=2,spread=2,first=1\r\n\r\n"
        + body;
  }

  public static Message read(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (String l = line(in); !l.isEmpty(); l = line(in)) {
      head.append(l).append("\r\n");
    }
    Message bare = new Message(head.toString(), new byte[0]);
    if ("chunked".equals(bare.header("Transfer-Encoding"))) {
      return new Message(bare.head(), chunks(in));
    }
    String length = bare.header("Content-Length");
    byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
    if (length != null && body.length < Integer.parseInt(length)) {
      throw new EOFException("body was cut");
    }
    return new Message(bare.head(), body);
  }

  private static byte[] chunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    for (int size = Integer.parseInt(line(in), 16);
        size > 0;
        size = Integer.parseInt(line(in), 16)) {
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size || !line(in).isEmpty()) {
        throw new EOFException("chunk was cut");
      }
      body.write(chunk);
    }
    while (!line(in).isEmpty()) {
      // A trailer.
    }
    return body.toByteArray();
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException();
      }
      if (b != '\r') {
        bytes.write(b);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** A client's connection. */
  public static final class Client implements Closeable {
    public final Socket socket;
    private final InputStream in;

    public Client(InetSocketAddress address) throws IOException {
      socket = new Socket(address.getAddress(), address.getPort());
      socket.setSoTimeout(10_000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    public void send(String text) throws IOException {
      write(socket.getOutputStream(), text);
    }

    public Message receive() throws IOException {
      return read(in);
    }

    public Message ask(String text) throws IOException {
      send(text);
      return receive();
    }

    /** Reads all that follows up to the end of the connection; gives how much it was. */
    public int rest() throws IOException {
      return in.readAllBytes().length;
    }

    /** True when nothing more comes and the connection ends. */
    public boolean ended() throws IOException {
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

  @Override
  public void close() throws IOException {
    if (door != null) {
      door.stop();
    }
    for (Closeable c : open) {
      c.close();
    }
  }
}
