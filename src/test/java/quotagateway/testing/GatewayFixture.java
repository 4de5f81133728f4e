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
import quotagateway.config.ResourceLimits;
import quotagateway.server.GatewayServer;
import quotagateway.transport.ConnectionBudget;

/**
 * A gateway on loopback with fakes of its peers: a backend, the counter, discovery, clients and
 * operators. The fixture opens the peers at creation or on request, starts the gateway when the
 * test asks for it, and closes all of them.
 */
public final class GatewayFixture implements Closeable {

  /** The descriptor limit of {@link #smallConfig}, which allows only a few connections. */
  public static final int FEW_DESCRIPTORS = 160;

  private static final int FEW_MEGABYTES = 128;

  /** The limit of client connections of {@link #smallConfig} while no backend is asked. */
  public static final int FEW_CLIENT_CONNECTIONS =
      new ConnectionBudget(ResourceLimits.of(FEW_DESCRIPTORS, FEW_MEGABYTES, 1).maxConnections())
          .maxClientConnections();

  public final FakeBackend backend = new FakeBackend();
  public final FakeCounter counter = new FakeCounter();
  public final FakeDiscovery discovery = new FakeDiscovery();

  /** Further resources that the fixture closes. */
  private final List<Closeable> resources = new CopyOnWriteArrayList<>();

  private final Path sharedFolder = createTemporaryFolder();
  private GatewayServer gateway;

  private static Path createTemporaryFolder() {
    try {
      Path folder = Files.createTempDirectory("gateway");
      folder.toFile().deleteOnExit();
      return folder;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Opens another peer; the fixture closes it. */
  public ScriptedServer listen(int backlog, ScriptedServer.Script script) {
    ScriptedServer server = new ScriptedServer(backlog, script);
    resources.add(server);
    return server;
  }

  /** Returns a configuration whose endpoint list has the given entries. */
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

  /** Returns a configuration whose only endpoint is the fixture's backend. */
  private String singleBackendConfig() {
    return config(EndpointListJson.entry("s-1", backend.port(), "active"));
  }

  /** Returns a configuration with the fixture's backend and limits for few connections. */
  public String smallConfig() {
    return singleBackendConfig()
        .replace(
            "\"seed\"",
            "\"limits\":{\"cores\":1,\"memory_mb\":"
                + FEW_MEGABYTES
                + ",\"sockets\":"
                + FEW_DESCRIPTORS
                + "},\"seed\"");
  }

  /** Parses a configuration as the gateway parses its configuration file. */
  public static GatewayConfig parse(String json) throws IOException, InvalidConfigurationException {
    try (JsonParser in = new JsonFactory().createParser(json)) {
      in.nextToken();
      return GatewayConfig.of(JsonFields.readObject(in));
    }
  }

  /** Starts a gateway with the fixture's backend. */
  public GatewayServer start() throws Exception {
    return start(singleBackendConfig());
  }

  /** Starts a gateway, to which the other methods refer from then on. */
  public GatewayServer start(String config) throws Exception {
    GatewayServer previous = gateway;
    gateway = GatewayServer.start(parse(config), sharedFolder);
    if (previous != null) {
      resources.add(previous::stop);
    }
    return gateway;
  }

  /** Starts a second gateway on the address of the first, as an upgrade by a new process does. */
  public GatewayServer startSecondGateway() throws Exception {
    return start(
        singleBackendConfig()
            .replace(
                "\"listen\":\"127.0.0.1:0\"",
                "\"listen\":\"127.0.0.1:" + portOf(gateway.address()) + "\""));
  }

  private static int portOf(SocketAddress address) {
    return ((InetSocketAddress) address).getPort();
  }

  /** Opens a client connection to the gateway. */
  public TestClient client() throws IOException {
    return connect(gateway.address());
  }

  /** Opens an operator's connection to the admin server. */
  public TestClient operator() throws IOException {
    return connect(gateway.adminAddress());
  }

  private TestClient connect(SocketAddress address) throws IOException {
    TestClient client = new TestClient((InetSocketAddress) address);
    resources.add(client);
    return client;
  }

  /** Sends an operator's request, such as {@code GET /ready}, and returns the response status. */
  public int operator(String request) throws IOException {
    try (TestClient operator = new TestClient((InetSocketAddress) gateway.adminAddress())) {
      return operator.exchange(request + " HTTP/1.1\r\nHost: x\r\n\r\n").status();
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
    for (Closeable resource : resources) {
      resource.close();
    }
  }
}
