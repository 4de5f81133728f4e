package quotagateway.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import quotagateway.admin.AdminServer;
import quotagateway.client.ClientServer;
import quotagateway.config.GatewayConfig;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/**
 * One gateway in this process, from its start to its shutdown. All that clients, backends, the
 * counter and discovery need is done on one event loop; operators have one of their own.
 */
public final class GatewayServer {

  private static final Logger LOG = Logger.getLogger(GatewayServer.class.getName());

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  public final EventLoop loop = group.next();
  private final MonotonicClock clock = new MonotonicClock();
  private final Lifecycle lifecycle = new Lifecycle(clock);
  private final UpgradeCoordinator started;
  private final UpgradeCoordinator serving;

  /** Null until the parts run; the admin server, which opens before, reads it on its thread. */
  private volatile GatewayComponents components;

  private ConfigReload configReload;
  private Channel listener;

  /** Null where the configuration names no address for operators, or it cannot be listened on. */
  private AdminServer admin;

  /** What is done once the parts run and before clients are accepted. */
  interface Preparation {
    void prepare(GatewayServer server) throws IOException;
  }

  private GatewayServer(Path sharedFolder) {
    started = new UpgradeCoordinator(sharedFolder, UpgradeCoordinator.STARTED);
    serving = new UpgradeCoordinator(sharedFolder, UpgradeCoordinator.SERVING);
  }

  /**
   * Starts a gateway and returns when it serves.
   *
   * @param sharedFolder which all processes of this gateway share
   * @throws IOException where it cannot listen for clients
   */
  public static GatewayServer start(GatewayConfig config, Path sharedFolder)
      throws IOException, InterruptedException {
    return start(config, sharedFolder, server -> {});
  }

  static GatewayServer start(GatewayConfig config, Path sharedFolder, Preparation preparation)
      throws IOException, InterruptedException {
    GatewayServer server = new GatewayServer(sharedFolder);
    try {
      server.open(config, preparation);
    } catch (IOException | InterruptedException | RuntimeException e) {
      server.stop();
      throw e;
    }
    return server;
  }

  private void open(GatewayConfig config, Preparation preparation)
      throws IOException, InterruptedException {
    started.announce();
    openAdmin(config);
    loop.submit(
            () -> {
              components = GatewayComponents.start(config, loop, clock, lifecycle, started);
            })
        .sync();
    configReload = new ConfigReload(loop, components, config);
    preparation.prepare(this);
    // The first log line takes a tenth of a second of a core, which nobody waits for before the
    // port is open.
    LOG.info("listening address=" + config.listenAddress());
    listen(config.listenAddress());
    serving.announce();
    lifecycle.startServing();
  }

  private void listen(InetSocketAddress address) throws IOException, InterruptedException {
    ChannelFuture bound = components.clients().listen(group, address).await();
    if (!bound.isSuccess()) {
      Throwable cause = bound.cause();
      BindException failure =
          new BindException("cannot listen on " + address + ": " + cause.getMessage());
      failure.initCause(cause);
      throw failure;
    }
    listener = bound.channel();
  }

  /** A gateway that operators cannot reach serves its clients all the same. */
  private void openAdmin(GatewayConfig config) {
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

  /** Where clients connect. */
  public SocketAddress address() {
    return listener.localAddress();
  }

  /** Where operators connect. */
  public SocketAddress adminAddress() {
    return admin.address();
  }

  /** The running part that accepts clients; for tests, which also look at it on the event loop. */
  public ClientServer clients() {
    return components.clients();
  }

  /** The state that the running parts read; for tests. */
  public Lifecycle lifecycle() {
    return lifecycle;
  }

  /** Replaces the configuration by the file's; see {@link ConfigReload}. */
  void reload(Path file) {
    configReload.reload(file);
  }

  /** Ends the service without losing a request, and returns when it has ended. */
  public void shutDownGracefully() {
    new GracefulShutdown(loop, lifecycle, components, serving).run(configReload.inUse().settings());
    stop();
  }

  /** Closes all connections at once. */
  public void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    if (admin != null) {
      admin.close();
    }
  }
}
