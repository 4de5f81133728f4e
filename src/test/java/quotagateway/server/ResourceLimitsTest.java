package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.config.ResourceLimits;
import quotagateway.counter.CounterClient;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;
import quotagateway.transport.ConnectionBudget;

/** A gateway in a process of its own, with the memory of the deploy file and few descriptors. */
@Timeout(90)
class ResourceLimitsTest {

  private static final int MANY_BACKENDS = 1_500;
  private static final int MEMORY_MB = 192;
  private static final long AT_ONCE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final GatewayFixture fixture = new GatewayFixture();
  private final Socket reserved = new Socket();
  private final AtomicBoolean away = new AtomicBoolean();
  private final AtomicInteger counterConnections = new AtomicInteger();
  private InetSocketAddress address;
  private Process process;

  @TempDir Path folder;

  /**
   * A bound socket that does not listen keeps the port for the process, which binds it with reuse.
   */
  @BeforeEach
  void reserve() throws IOException {
    reserved.setOption(StandardSocketOptions.SO_REUSEPORT, true);
    reserved.setReuseAddress(true);
    reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    address = (InetSocketAddress) reserved.getLocalSocketAddress();
  }

  @AfterEach
  void close() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    reserved.close();
    fixture.close();
  }

  private int backendThatResponds(String name) {
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
   * Starts it with so many descriptors, by the options of the deploy file, and waits until it
   * serves.
   */
  private void start(String config, int sockets) throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(
        file,
        config
            .replace(
                "\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + address.getPort() + "\"")
            .replace(
                "\"seed\"",
                "\"limits\":{\"cores\":1,\"memory_mb\":"
                    + MEMORY_MB
                    + ",\"sockets\":"
                    + sockets
                    + "},\"seed\""));
    List<String> command =
        new ArrayList<>(
            List.of(
                "/bin/sh",
                "-c",
                "ulimit -n " + sockets + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
        .filter(l -> l.startsWith("run ="))
        .flatMap(l -> Arrays.stream(l.split(" ")))
        .filter(o -> o.matches("-(X|D).*") && !o.contains("Archive") && !o.contains("tmpdir"))
        .forEach(command::add);
    command.addAll(
        List.of(
            "-Djava.io.tmpdir=" + folder,
            "-cp",
            System.getProperty("java.class.path"),
            "quotagateway.Main",
            "serve"));
    ProcessBuilder program =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("output").toFile());
    program.environment().put("GW_CONFIG", file.toString());
    process = program.start();
    askUntil("1", TimeUnit.SECONDS.toNanos(60));
  }

  private interface Step {
    void run() throws IOException;
  }

  /**
   * Asks on ever new connections until a backend of that name answers; those may be refused
   * meanwhile.
   */
  private void askUntil(String name, long nanos) throws IOException {
    long until = System.nanoTime() + nanos;
    for (int n = 0; ; n++) {
      assertTrue(process.isAlive(), () -> "it has ended: " + output());
      assertTrue(System.nanoTime() < until, () -> "no answer of " + name + " in time; " + output());
      try (TestClient client = new TestClient(address)) {
        if (client.ask(TestRequests.get(name + "-" + n, 3000)).text().equals(name)) {
          return;
        }
      } catch (IOException e) {
        // It does not listen yet, or there was no place.
      }
    }
  }

  private String output() {
    try {
      return Files.readString(folder.resolve("output"));
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  private int descriptors() {
    return Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list().length;
  }

  private static String whole(String list) {
    return Integer.toHexString(list.length()) + "\r\n" + list + "\r\n";
  }

  /** Discovery that accepts no watch while it is away, and reports this list once it is back. */
  private int discoveryThatReports(String list, AtomicInteger watches) {
    return fixture
        .listen(
            50,
            (in, out, socket) -> {
              if (away.get()) {
                socket.close();
                return;
              }
              HttpMessage.read(in);
              watches.incrementAndGet();
              TextStreams.write(
                  out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + whole(list));
            })
        .port();
  }

  private int counter() {
    return fixture
        .listen(
            50,
            (in, out, socket) -> {
              if (away.get()) {
                socket.close();
                return;
              }
              counterConnections.incrementAndGet();
              fixture.counter.serve(in, out, socket);
            })
        .port();
  }

  /**
   * A crowd of clients connects while discovery and the counter are away. Its connections leave
   * descriptors for all that the gateway itself connects to, so that it recovers at once when they
   * are back.
   */
  @ParameterizedTest
  @ValueSource(ints = {80, GatewayFixture.FEW_DESCRIPTORS})
  void crowdOfClientsLeavesDescriptorsForDiscoveryCounterAndBackends(int sockets) throws Exception {
    int first = backendThatResponds("1");
    int second = backendThatResponds("2");
    away.set(true);
    AtomicInteger watches = new AtomicInteger();
    int discovery =
        discoveryThatReports(
            EndpointListJson.list(8, true, EndpointListJson.entry("s-2", second, "active")),
            watches);
    start(
        fixture
            .config(EndpointListJson.entry("s-1", first, "active"))
            .replace("127.0.0.1:" + fixture.discovery.port(), "127.0.0.1:" + discovery)
            .replace("127.0.0.1:" + fixture.counter.port(), "127.0.0.1:" + counter()),
        sockets);
    ArrayDeque<TestClient> crowd = new ArrayDeque<>();
    Step crowdIn =
        () -> {
          for (int i = 0; i < 20; i++) {
            crowd.add(new TestClient(address));
            if (crowd.size() > 3 * sockets) {
              crowd.poll().close();
            }
          }
        };
    int most = 0;
    for (int i = 0; i < 60; i++) {
      crowdIn.run();
      most = Math.max(most, descriptors());
    }
    int places =
        new ConnectionBudget(ResourceLimits.of(sockets, MEMORY_MB, 1).connections())
            .maxClientConnections();
    assertTrue(most > places, "clients fill their places: " + most + " descriptors");
    away.set(false);
    long back = System.nanoTime();
    while (watches.get() == 0 || counterConnections.get() < CounterClient.CONNECTIONS) {
      crowdIn.run();
      assertTrue(
          System.nanoTime() - back < AT_ONCE_NANOS,
          watches + " watches and " + counterConnections + " connections to the counter");
    }
    askUntil("2", AT_ONCE_NANOS);
    assertFalse(output().contains("Too many open files"), this::output);
    for (TestClient client : crowd) {
      client.close();
    }
  }

  private static String servers(
      int version, boolean full, int from, int to, int port, String state) {
    return EndpointListJson.list(
        version,
        full,
        IntStream.range(from, to)
            .mapToObj(i -> EndpointListJson.entry("server-with-a-long-name-" + i, port, state))
            .toArray(String[]::new));
  }

  /**
   * Discovery reports the largest fleet asked for, again and again. Its lists are applied within
   * the memory of the deploy file, or the process would be killed.
   */
  @Test
  void listsOfManyBackendsFitIntoTheMemory() throws Exception {
    int first = backendThatResponds("1");
    int second = backendThatResponds("2");
    int third = backendThatResponds("3");
    start(
        fixture
            .config()
            .replace(
                "\"known\":" + EndpointListJson.list(7, true),
                "\"known\":" + servers(7, true, 0, MANY_BACKENDS, first, "active"))
            .replace("\"Balancers\":2,\"SelfIndex\":0", "\"Balancers\":120,\"SelfIndex\":119"),
        1024);
    TestQueues.next(fixture.discovery.watches);
    report(servers(8, true, MANY_BACKENDS, 2 * MANY_BACKENDS, second, "active"));
    askUntil("2", TimeUnit.SECONDS.toNanos(20));
    report(servers(9, false, MANY_BACKENDS, 2 * MANY_BACKENDS, second, "leaving"));
    for (int v = 10; v < 40; v++) {
      report(servers(v, true, v * MANY_BACKENDS, (v + 1) * MANY_BACKENDS, third, "active"));
    }
    askUntil("3", TimeUnit.SECONDS.toNanos(20));
    try (TestClient client = new TestClient(address)) {
      for (int i = 0; i < 100; i++) {
        assertEquals("3", client.ask(TestRequests.get("many-" + i, 3000)).text());
      }
    }
    long peak =
        Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
            .filter(l -> l.startsWith("VmHWM:"))
            .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1024)
            .findFirst()
            .orElseThrow();
    assertTrue(peak < MEMORY_MB, peak + " MB");
    assertTrue(fixture.discovery.watches.isEmpty(), "none of the lists ended the watch");
  }

  private void report(String list) throws IOException {
    OutputStream out = fixture.discovery.newestWatch().out();
    TextStreams.write(out, whole(list));
  }
}
