package quotagateway.testing;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import quotagateway.config.GatewayConfig;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.config.JsonFields;
import quotagateway.server.GatewayServer;

/**
 * A gateway on loopback between stand-ins of its peers: a backend, the counter, discovery, clients
 * and operators. It opens them, starts the gateway where the test says so, and closes all of them.
 */
public final class GatewayFixture implements Closeable {

  /** The descriptors of {@link #smallConfig}, which leave few connections. */
  public static final int FEW_DESCRIPTORS = 160;

  public final FakeBackend backend = new FakeBackend();
  public final FakeCounter counter = new FakeCounter();
  public final FakeDiscovery discovery = new FakeDiscovery();

  /** What else is to be closed with the fixture. */
  private final List<Closeable> open = new CopyOnWriteArrayList<>();

  private final Path sharedFolder = temporaryFolder();
  private GatewayServer gateway;

  private static Path temporaryFolder() {
    try {
      Path folder = Files.createTempDirectory("gateway");
      folder.toFile().deleteOnExit();
      return folder;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Opens one more peer, which is closed with the fixture. */
  public ScriptedServer listen(int backlog, ScriptedServer.Script script) {
    ScriptedServer server = new ScriptedServer(backlog, script);
    open.add(server);
    return server;
  }

  /** A configuration whose endpoint list has these entries. */
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
        .formatted(discovery.port(), counter.port(), EndpointListJson.list(7, true, entries));
  }

  /** A configuration with the fixture's one backend. */
  private String ownBackendConfig() {
    return config(EndpointListJson.entry("s-1", backend.port(), "active"));
  }

  /** A configuration with the fixture's one backend and limits that leave few connections. */
  public String smallConfig() {
    return ownBackendConfig()
        .replace(
            "\"seed\"",
            "\"limits\":{\"cores\":1,\"memory_mb\":128,\"sockets\":"
                + FEW_DESCRIPTORS
                + "},\"seed\"");
  }

  /** Reads a configuration as from its file. */
  public static GatewayConfig parse(String json) throws IOException, InvalidConfigurationException {
    try (JsonParser in = new JsonFactory().createParser(json)) {
      in.nextToken();
      return GatewayConfig.of(JsonFields.readObject(in));
    }
  }

  /** Starts the gateway with the fixture's one backend. */
  public GatewayServer start() throws Exception {
    return start(ownBackendConfig());
  }

  /** Starts a gateway, which the other methods are about from now on. */
  public GatewayServer start(String config) throws Exception {
    GatewayServer before = gateway;
    gateway = GatewayServer.start(parse(config), sharedFolder);
    if (before != null) {
      open.add(before::stop);
    }
    return gateway;
  }

  /** Starts a gateway beside the first, at the same address, as a second process would. */
  public GatewayServer startBeside() throws Exception {
    return start(
        ownBackendConfig()
            .replace(
                "\"listen\":\"127.0.0.1:0\"",
                "\"listen\":\"127.0.0.1:" + port(gateway.address()) + "\""));
  }

  private static int port(SocketAddress address) {
    return ((InetSocketAddress) address).getPort();
  }

  /** A client that has connected. */
  public TestClient client() throws IOException {
    return connect(gateway.address());
  }

  /** An operator that has connected. */
  public TestClient operator() throws IOException {
    return connect(gateway.adminAddress());
  }

  private TestClient connect(SocketAddress address) throws IOException {
    TestClient client = new TestClient((InetSocketAddress) address);
    open.add(client);
    return client;
  }

  /** An operator's one request, such as {@code GET /ready}: the status of its response. */
  public int operator(String request) throws IOException {
    try (TestClient operator = new TestClient((InetSocketAddress) gateway.adminAddress())) {
      return operator.ask(request + " HTTP/1.1\r\nHost: x\r\n\r\n").status();
    }
  }

  @Override
  public void close() throws IOException {
    if (gateway != null) {
      gateway.stop();
    }
    backend.close();
    counter.close();
    discovery.close();
    for (Closeable peer : open) {
      peer.close();
    }
  }
}
