package quotagateway.server;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import quotagateway.admin.AdminServer;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.client.ClientServer;
import quotagateway.client.RequestReader;
import quotagateway.config.ConfigurationFile;
import quotagateway.config.GatewayConfig;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.counter.CounterClient;
import quotagateway.discovery.DiscoveryClient;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.driver.PolicyDriver;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.settings.RequestClass;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/** One real front door: its wiring, its start and its planned end. */
public final class GatewayServer {

  private static final Logger LOG = Logger.getLogger(GatewayServer.class.getName());

  /** After SIGTERM new connections go on coming for up to 0.4 s. */
  private static final long ACCEPT_MS = (long) ClientServer.DRAIN_NOTICE_MS;

  /**
   * SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM: all is answered by
   * then.
   */
  private static final long ANSWER_MS = 300;

  /** A longer deadline counts as this there. */
  private static final double MOST_DEADLINE_MS = 3_000;

  /**
   * Nothing is taken from then on, while clients read their last answers; SIGKILL is further off.
   */
  private static final long LAST_MS = 330;

  private static final long POLL_MS = 10;

  /** How often it is looked whether another process has started beside this one. */
  private static final long BESIDE_MS = 500;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  public final EventLoop loop = group.next();
  private final MonotonicClock clock = new MonotonicClock();
  private final CountDownLatch drained = new CountDownLatch(1);
  private PolicyDriver driver;

  /** Read by the admin server too, which opens before it is there. */
  private volatile ClientServer clients;

  private CounterClient counter;
  private DiscoveryClient discovery;
  private final Lifecycle lifecycle = new Lifecycle(clock);
  private final UpgradeCoordinator started;
  private final UpgradeCoordinator serving;
  private AdminServer admin;
  private Channel listening;

  /** The one in use. */
  private volatile GatewayConfig config;

  private GatewayServer(Path shared) {
    started = new UpgradeCoordinator(shared, "started");
    serving = new UpgradeCoordinator(shared, "serving");
  }

  /**
   * Reads the configuration that the environment names, and serves until the process is told to
   * end.
   */
  public static void serve()
      throws IOException, InterruptedException, InvalidConfigurationException {
    String file = System.getenv("GW_CONFIG");
    if (file == null) {
      throw new InvalidConfigurationException("GW_CONFIG", "is not set");
    }
    Path path = Path.of(file);
    GatewayConfig config = ConfigurationFile.read(path).withAdminAddress(System.getenv("GW_MGMT"));
    start(
        config,
        Path.of(System.getProperty("java.io.tmpdir")),
        wired -> {
          ReloadSignal.handle(() -> wired.reload(path));
          // Before it listens: what it takes is answered from the first request on.
          Runtime.getRuntime().addShutdownHook(new Thread(wired::shutDownGracefully, "end"));
          WarmUp warmUp = new WarmUp(config);
          warmUp.run(warmUp.limitMs());
        });
  }

  private interface Preparation {
    void of(GatewayServer wired) throws IOException;
  }

  /** Its processes share the folder. */
  public static GatewayServer start(GatewayConfig config, Path shared)
      throws IOException, InterruptedException {
    return start(config, shared, wired -> {});
  }

  /**
   * Starts it; what is to be ready before the first client is done between its wiring and its
   * listening.
   */
  private static GatewayServer start(GatewayConfig config, Path shared, Preparation beforeListening)
      throws IOException, InterruptedException {
    GatewayServer door = new GatewayServer(shared);
    door.config = config;
    try {
      door.started.enter();
      door.openAdmin(config);
      door.loop.submit(() -> door.wire(config)).sync();
      beforeListening.of(door);
      // The first line takes a tenth of a second of a core, which nobody waits for here.
      LOG.info("listening on " + config.listenAddress());
      door.listening = door.clients.listen(door.group, config.listenAddress()).sync().channel();
    } catch (ReloadSignal.UnavailableException | RuntimeException e) {
      door.stop();
      throw e;
    } catch (Exception e) {
      door.stop();
      throw new IOException(
          "cannot listen on " + config.listenAddress() + ": " + e.getMessage(), e);
    }
    door.serving.enter();
    door.lifecycle.started();
    return door;
  }

  /** Without its admin server a front door serves all the same. */
  private void openAdmin(GatewayConfig config) {
    if (config.adminAddress() != null) {
      try {
        admin = new AdminServer(config.adminAddress(), lifecycle, this::ready);
      } catch (IOException e) {
        LOG.severe(e.getMessage());
      }
    }
  }

  private boolean ready() {
    ClientServer wired = clients;
    return wired != null && wired.isReady();
  }

  public SocketAddress address() {
    return listening.localAddress();
  }

  public ClientServer clients() {
    return clients;
  }

  public Lifecycle lifecycle() {
    return lifecycle;
  }

  public SocketAddress adminAddress() {
    return admin.address();
  }

  private void wire(GatewayConfig config) {
    ConnectionBudget places = new ConnectionBudget(config.limits().connections());
    loop.scheduleWithFixedDelay(
        () ->
            places.shareWithOtherProcess(
                started.another() ? config.limits().connectionsDuringUpgrade() : 0),
        0,
        BESIDE_MS,
        TimeUnit.MILLISECONDS);
    GatewayPolicy policy = new GatewayPolicy(config.settings(), config.seed());
    BackendConnectionPool backends =
        new BackendConnectionPool(
            loop,
            clock,
            Dialer.sockets(loop, config.connectTimeoutMs()),
            config.idleTimeoutMs(),
            places,
            policy.listing());
    driver = new PolicyDriver(loop, clock, policy, backends);
    clients =
        new ClientServer(
            loop,
            clock,
            driver,
            backends,
            new RequestReader(config.settings()),
            config.limits(),
            places,
            lifecycle);
    counter =
        new CounterClient(
            loop,
            clock,
            Dialer.sockets(loop, CounterClient.CONNECT_TIMEOUT_MS),
            config.counterAddress(),
            config.settings().capabilities().counterTimeoutMs(),
            driver::onCounterReplied);
    counter.start();
    EndpointUpdate known = EndpointUpdate.fromConfiguration(config.knownEndpoints());
    driver.start(counter, known);
    discovery =
        new DiscoveryClient(
            loop,
            clock,
            DiscoveryClient.dialer(loop),
            config.discoveryAddress(),
            known.version(),
            config.limits().endpoints(),
            driver::onEndpointUpdate);
    discovery.start();
  }

  /**
   * Takes the replaced file, whole or not at all; read and checked on the caller's thread, as the
   * loop has clients waiting. What the sockets were set up with (limits, own addresses) stays until
   * the next start.
   */
  synchronized void reload(Path file) {
    try {
      GatewayConfig read = ConfigurationFile.reread(file, config);
      config = read;
      loop.execute(
          () -> {
            counter.changeAddress(read.counterAddress());
            discovery.changeAddress(read.discoveryAddress());
            driver.onSettingsChanged(read.settings());
            clients.replaceRequestReader(new RequestReader(read.settings()));
          });
      LOG.info("the new configuration is taken");
    } catch (InvalidConfigurationException | RuntimeException e) {
      LOG.warning("the new configuration is not taken: " + e.getMessage());
    }
  }

  /**
   * The planned end: accept a little longer, answer all that was taken, then let the process go.
   * Where another process serves at the same address, it gets all new connections at once, and so
   * is the one that the front asks.
   */
  public void shutDownGracefully() {
    lifecycle.end();
    long answerMs =
        ANSWER_MS
            + (long)
                Math.min(
                    MOST_DEADLINE_MS,
                    config.settings().requestClasses().stream()
                        .mapToDouble(RequestClass::deadlineMs)
                        .max()
                        .orElse(0));
    long acceptMs = serving.another() ? 0 : ACCEPT_MS;
    loop.schedule(clients::stopAccepting, acceptMs, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        () -> {
          if (clients.hasNoConnections()) {
            drained.countDown();
          }
        },
        ACCEPT_MS + POLL_MS,
        POLL_MS,
        TimeUnit.MILLISECONDS);
    try {
      if (!drained.await(answerMs, TimeUnit.MILLISECONDS)) {
        loop.submit(clients::shutDown).sync();
        // What has begun is passed on for as long as the process is let be.
        do {
          drained.await(LAST_MS, TimeUnit.MILLISECONDS);
        } while (loop.submit(driver::streamingResponseCount).sync().getNow() > 0);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stop();
  }

  public void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    if (admin != null) {
      admin.close();
    }
  }
}
