package quotagateway.server;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import quotagateway.admin.AdminServer;
import quotagateway.client.ClientServer;
import quotagateway.config.GatewayConfig;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.transport.ListeningSocket;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/**
 * Runs one gateway in this process, from startup to shutdown. A single event loop serves clients,
 * backends, the shared counter and discovery; the admin server has an event loop of its own.
 */
public final class GatewayServer {

  private static final Logger LOG = Logger.getLogger(GatewayServer.class.getName());

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  public final EventLoop eventLoop = group.next();
  private final MonotonicClock clock = new MonotonicClock();
  private final Lifecycle lifecycle = new Lifecycle(clock);
  private final UpgradeCoordinator startedProcesses;
  private final UpgradeCoordinator servingProcesses;

  /**
   * Null until the components are started. Volatile because the admin server opens earlier and
   * reads this field on its own thread.
   */
  private volatile GatewayComponents components;

  private ConfigReload configReload;
  private Channel listener;

  /** Null if the configuration has no admin address, or if the address cannot be bound. */
  private AdminServer admin;

  /** Runs after the components have started and before the gateway accepts clients. */
  interface StartupHook {
    void run(GatewayServer server) throws IOException;
  }

  private GatewayServer(Path sharedFolder) {
    startedProcesses = new UpgradeCoordinator(sharedFolder, UpgradeCoordinator.STARTED);
    servingProcesses = new UpgradeCoordinator(sharedFolder, UpgradeCoordinator.SERVING);
  }

  /**
   * Starts a gateway and returns once it accepts clients.
   *
   * @param sharedFolder folder for lock files, shared by all processes of this gateway
   * @throws IOException if the client address cannot be bound
   */
  public static GatewayServer start(GatewayConfig config, Path sharedFolder)
      throws IOException, InterruptedException {
    return start(config, sharedFolder, server -> {});
  }

  static GatewayServer start(GatewayConfig config, Path sharedFolder, StartupHook beforeListening)
      throws IOException, InterruptedException {
    GatewayServer server = new GatewayServer(sharedFolder);
    try {
      server.open(config, beforeListening);
    } catch (IOException | InterruptedException | RuntimeException e) {
      server.stop();
      throw e;
    }
    return server;
  }

  private void open(GatewayConfig config, StartupHook beforeListening)
      throws IOException, InterruptedException {
    startedProcesses.announce();
    openAdmin(config);
    eventLoop
        .submit(
            () -> {
              components =
                  GatewayComponents.start(config, eventLoop, clock, lifecycle, startedProcesses);
            })
        .sync();
    configReload = new ConfigReload(eventLoop, components, config);
    beforeListening.run(this);
    // The first log line takes 0.1 s of one core's time. Writing it before the port is open keeps
    // clients from waiting for it.
    LOG.info("listening address=" + config.listenAddress());
    listen(config.listenAddress());
    servingProcesses.announce();
    lifecycle.startServing();
  }

  private void listen(InetSocketAddress address) throws IOException, InterruptedException {
    listener = ListeningSocket.open(address, () -> components.clients().listen(group, address));
  }

  /**
   * Opens the admin server. A failure is logged and does not stop the gateway, which can serve
   * clients without it.
   */
  private void openAdmin(GatewayConfig config) throws InterruptedException {
    if (config.adminAddress() == null) {
      return;
    }
    try {
      admin = new AdminServer(config.adminAddress(), lifecycle, this::isReady);
    } catch (IOException e) {
      LOG.severe("admin server unavailable reason=" + e.getMessage());
    }
  }

  private boolean isReady() {
    GatewayComponents running = components;
    return running != null && running.clients().isReady();
  }

  /** Returns the address that clients connect to. */
  public SocketAddress address() {
    return listener.localAddress();
  }

  /** Returns the address that operators connect to. */
  public SocketAddress adminAddress() {
    return admin.address();
  }

  /**
   * Returns the component that accepts clients. For tests, which also inspect it on the event loop.
   */
  public ClientServer clients() {
    return components.clients();
  }

  /** Returns the state that the components read. For tests. */
  public Lifecycle lifecycle() {
    return lifecycle;
  }

  /** Replaces the configuration in use with the contents of the file; see {@link ConfigReload}. */
  void reload(Path file) {
    configReload.reload(file);
  }

  /**
   * Shuts down without losing an accepted request, and returns when the shutdown is complete. Does
   * nothing if the gateway has stopped already, as after a start that failed.
   */
  public void shutDownGracefully() {
    if (eventLoop.isShuttingDown()) {
      return;
    }
    new GracefulShutdown(eventLoop, lifecycle, components, servingProcesses)
        .run(configReload.inUse().settings());
    stop();
  }

  /** Closes all connections immediately, without waiting for open requests. */
  public void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    if (admin != null) {
      admin.close();
    }
  }
}
