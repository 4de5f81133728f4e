package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.config.ResourceLimits;
import quotagateway.counter.CounterClient;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.PortReservation;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;
import quotagateway.transport.ConnectionBudget;

/**
 * Tests a gateway in a separate process with the JVM options of the deploy file and a limited
 * number of descriptors.
 */
@Timeout(90)
class ResourceLimitsTest {

  private static final int MANY_BACKENDS = 1_500;
  private static final int MEMORY_MB = 192;
  private static final long MAX_RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Includes the time for thousands of queued requests, which are served first. */
  private static final long MAX_BACKLOG_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final GatewayFixture fixture = new GatewayFixture();
  private PortReservation portReservation;
  private final AtomicBoolean peersUnavailable = new AtomicBoolean();
  private final AtomicInteger counterConnections = new AtomicInteger();
  private InetSocketAddress gatewayAddress;
  private Process process;

  @TempDir Path tempFolder;

  @BeforeEach
  void reservePort() throws IOException {
    portReservation = new PortReservation();
    gatewayAddress = portReservation.address();
  }

  @AfterEach
  void close() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    portReservation.close();
    fixture.close();
  }

  private int startNamedBackend(String name) {
    return fixture
        .listen(
            50,
            (in, out, socket) -> {
              while (true) {
                HttpMessage.read(in);
                TextStreams.write(
                    out, "HTTP/1.1 200 OK\r\nContent-Length: " + name.length() + "\r\n\r\n" + name);
              }
            })
        .port();
  }

  /**
   * Starts the gateway process with the JVM options of the deploy file and a descriptor limit, and
   * waits until it serves.
   */
  private void start(String config, int descriptorLimit) throws Exception {
    Path file = tempFolder.resolve("config.json");
    Files.writeString(
        file,
        config
            .replace(
                "\"listen\":\"127.0.0.1:0\"",
                "\"listen\":\"127.0.0.1:" + gatewayAddress.getPort() + "\"")
            .replace(
                "\"seed\"",
                "\"limits\":{\"cores\":1,\"memory_mb\":"
                    + MEMORY_MB
                    + ",\"sockets\":"
                    + descriptorLimit
                    + "},\"seed\""));
    List<String> command =
        new ArrayList<>(
            List.of(
                "/bin/sh",
                "-c",
                "ulimit -n " + descriptorLimit + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
        .filter(l -> l.startsWith("run ="))
        .flatMap(l -> Arrays.stream(l.split(" ")))
        .filter(o -> o.matches("-(X|D).*") && !o.contains("Archive") && !o.contains("tmpdir"))
        .forEach(command::add);
    command.addAll(
        List.of(
            "-Djava.io.tmpdir=" + tempFolder,
            "-cp",
            System.getProperty("java.class.path"),
            "quotagateway.Main",
            "serve"));
    ProcessBuilder program =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(tempFolder.resolve("output").toFile());
    program.environment().put("GW_CONFIG", file.toString());
    process = program.start();
    requestUntilServedBy("1", TimeUnit.SECONDS.toNanos(60));
  }

  private interface IoAction {
    void run() throws IOException;
  }

  /**
   * Sends requests, each on a new connection, until the named backend responds. Connections may be
   * refused until then.
   */
  private void requestUntilServedBy(String name, long nanos) throws IOException {
    long deadline = System.nanoTime() + nanos;
    for (int requestNumber = 0; ; requestNumber++) {
      assertTrue(process.isAlive(), () -> "the gateway process has exited: " + output());
      assertTrue(
          System.nanoTime() < deadline,
          () -> "no response from backend " + name + " in time; " + output());
      try (TestClient client = new TestClient(gatewayAddress)) {
        if (client
            .exchange(TestRequests.get(name + "-" + requestNumber, 3000))
            .text()
            .equals(name)) {
          return;
        }
      } catch (IOException e) {
        // The gateway does not listen yet, or is at its connection limit.
      }
    }
  }

  private String output() {
    try {
      return Files.readString(tempFolder.resolve("output"));
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  private int openDescriptorCount() {
    return Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list().length;
  }

  private static String chunk(String list) {
    return Integer.toHexString(list.length()) + "\r\n" + list + "\r\n";
  }

  /**
   * Starts a fake discovery agent that closes all connections while the peers are unavailable and
   * responds to watches with the list afterwards.
   */
  private int startDiscovery(String list, AtomicInteger watches) {
    return fixture
        .listen(
            50,
            (in, out, socket) -> {
              if (peersUnavailable.get()) {
                socket.close();
                return;
              }
              HttpMessage.read(in);
              watches.incrementAndGet();
              TextStreams.write(
                  out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
            })
        .port();
  }

  private int startCounter() {
    return fixture
        .listen(
            50,
            (in, out, socket) -> {
              if (peersUnavailable.get()) {
                socket.close();
                return;
              }
              counterConnections.incrementAndGet();
              fixture.counter.serve(in, out, socket);
            })
        .port();
  }

  /**
   * Many clients connect while discovery and the counter are unavailable. The connection limit must
   * leave descriptors for all connections that the gateway itself opens, so that it recovers within
   * 3 s once both are available again.
   */
  @ParameterizedTest
  @ValueSource(ints = {80, GatewayFixture.FEW_DESCRIPTORS})
  void connectedClientsLeaveDescriptorsForDiscoveryCounterAndBackends(int descriptorLimit)
      throws Exception {
    int firstPort = startNamedBackend("1");
    int secondPort = startNamedBackend("2");
    peersUnavailable.set(true);
    AtomicInteger watches = new AtomicInteger();
    int discovery =
        startDiscovery(
            EndpointListJson.list(8, true, EndpointListJson.entry("s-2", secondPort, "active")),
            watches);
    start(
        fixture
            .config(EndpointListJson.entry("s-1", firstPort, "active"))
            .replace("127.0.0.1:" + fixture.discovery.port(), "127.0.0.1:" + discovery)
            .replace("127.0.0.1:" + fixture.counter.port(), "127.0.0.1:" + startCounter()),
        descriptorLimit);
    ArrayDeque<TestClient> clients = new ArrayDeque<>();
    IoAction connectClients =
        () -> {
          for (int i = 0; i < 20; i++) {
            clients.add(new TestClient(gatewayAddress));
            if (clients.size() > 3 * descriptorLimit) {
              clients.poll().close();
            }
          }
        };
    int maxDescriptors = 0;
    for (int i = 0; i < 60; i++) {
      connectClients.run();
      maxDescriptors = Math.max(maxDescriptors, openDescriptorCount());
    }
    int maxClientConnections =
        new ConnectionBudget(ResourceLimits.of(descriptorLimit, MEMORY_MB, 1).maxConnections())
            .maxClientConnections();
    assertTrue(
        maxDescriptors > maxClientConnections,
        "clients do not use up their connections: " + maxDescriptors + " descriptors");
    peersUnavailable.set(false);
    long recoveryStartNanos = System.nanoTime();
    while (watches.get() == 0 || counterConnections.get() < CounterClient.CONNECTION_COUNT) {
      connectClients.run();
      assertTrue(
          System.nanoTime() - recoveryStartNanos < MAX_RECOVERY_NANOS,
          watches + " watches and " + counterConnections + " connections to the counter");
    }
    requestUntilServedBy("2", MAX_RECOVERY_NANOS);
    assertFalse(output().contains("Too many open files"), this::output);
    for (TestClient client : clients) {
      client.close();
    }
  }

  /** What a peer sends before it halts; each is larger on the heap than on the wire. */
  enum HaltingPeer {
    HALF_HEAD(650) {
      @Override
      String sent(int number) {
        return "GET /quote/1 HTTP/1.1\r\n" + shortFields();
      }
    },
    HALF_BODY(600) {
      @Override
      String sent(int number) {
        String head = TestRequests.post("half-" + number, "");
        return head.replace("Length: 0\r\n", "Length: 60000\r\n" + shortFields())
            + "x".repeat(30_000);
      }
    },
    QUEUED_HEADS(300) {
      @Override
      String sent(int number) {
        // Of another customer, whose quota they use up.
        String first = TestRequests.get("queued-" + number, 3000).replace("b4d65521", "00000001");
        return first + (first.substring(0, first.length() - 2) + shortFields() + "\r\n").repeat(15);
      }
    },
    HALF_TRAILERS(650) {
      @Override
      String sent(int number) {
        String head = TestRequests.post("trailers-" + number, "");
        return head.replace("Content-Length: 0", "Transfer-Encoding: chunked")
            + "0\r\n"
            + shortFields();
      }
    },
    REPEATED_FIELD(650) {
      @Override
      String sent(int number) {
        return "GET /quote/1 HTTP/1.1\r\n" + "X-Plan: 1\r\n".repeat(1_400);
      }
    };

    final int peers;

    HaltingPeer(int peers) {
      this.peers = peers;
    }

    abstract String sent(int number);

    private static String shortFields() {
      return IntStream.range(0, 1_600)
          .mapToObj(i -> "H" + i + ": 1\r\n")
          .collect(Collectors.joining());
    }
  }

  /**
   * Hundreds of peers send heads of many short fields and halt. The bytes received were counted,
   * but the decoder held each field as an entry, many times its bytes, and the process ran out of
   * heap.
   */
  @ParameterizedTest
  @EnumSource
  void peersThatHaltDoNotEndTheProcess(HaltingPeer kind) throws Exception {
    int port = startNamedBackend("1");
    start(fixture.config(EndpointListJson.entry("s-1", port, "active")), 1024);
    List<TestClient> peers = new ArrayList<>();
    for (int i = 0; i < kind.peers; i++) {
      try {
        TestClient peer = new TestClient(gatewayAddress);
        peers.add(peer);
        peer.send(kind.sent(i));
      } catch (IOException e) {
        // The gateway may refuse a peer.
      }
    }
    requestUntilServedBy("1", MAX_BACKLOG_NANOS);
    for (TestClient peer : peers) {
      peer.close();
    }
  }

  private static String endpointList(
      int version, boolean full, int from, int to, int port, String state) {
    return EndpointListJson.list(
        version,
        full,
        IntStream.range(from, to)
            .mapToObj(i -> EndpointListJson.entry("server-with-a-long-name-" + i, port, state))
            .toArray(String[]::new));
  }

  /**
   * Discovery repeatedly reports the largest supported number of backends. Applying the lists must
   * not exceed the memory of the deploy file, or the process would be killed.
   */
  @Test
  void largeEndpointListsStayWithinTheMemoryLimit() throws Exception {
    int firstPort = startNamedBackend("1");
    int secondPort = startNamedBackend("2");
    int thirdPort = startNamedBackend("3");
    start(
        fixture
            .config()
            .replace(
                "\"known\":" + EndpointListJson.list(7, true),
                "\"known\":" + endpointList(7, true, 0, MANY_BACKENDS, firstPort, "active"))
            .replace("\"Balancers\":2,\"SelfIndex\":0", "\"Balancers\":120,\"SelfIndex\":119"),
        1024);
    TestQueues.next(fixture.discovery.watches);
    sendEndpointList(endpointList(8, true, MANY_BACKENDS, 2 * MANY_BACKENDS, secondPort, "active"));
    requestUntilServedBy("2", TimeUnit.SECONDS.toNanos(20));
    sendEndpointList(
        endpointList(9, false, MANY_BACKENDS, 2 * MANY_BACKENDS, secondPort, "leaving"));
    for (int version = 10; version < 40; version++) {
      sendEndpointList(
          endpointList(
              version,
              true,
              version * MANY_BACKENDS,
              (version + 1) * MANY_BACKENDS,
              thirdPort,
              "active"));
    }
    requestUntilServedBy("3", TimeUnit.SECONDS.toNanos(20));
    try (TestClient client = new TestClient(gatewayAddress)) {
      for (int i = 0; i < 100; i++) {
        assertEquals("3", client.exchange(TestRequests.get("many-" + i, 3000)).text());
      }
    }
    long peakMb =
        Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
            .filter(l -> l.startsWith("VmHWM:"))
            .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1024)
            .findFirst()
            .orElseThrow();
    assertTrue(peakMb < MEMORY_MB, peakMb + " MB");
    assertTrue(fixture.discovery.watches.isEmpty(), "a rejected list ended the watch");
  }

  private void sendEndpointList(String list) throws IOException {
    OutputStream out = fixture.discovery.newestWatch().out();
    TextStreams.write(out, chunk(list));
  }
}
