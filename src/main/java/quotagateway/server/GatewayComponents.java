package quotagateway.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import quotagateway.client.ClientServer;
import quotagateway.config.GatewayConfig;
import quotagateway.counter.CounterClient;
import quotagateway.discovery.DiscoveryClient;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.driver.PolicyDriver;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;

/**
 * Holds the running components of one gateway. They are confined to the gateway's event loop: their
 * methods are called on its thread unless documented otherwise.
 */
record GatewayComponents(
    PolicyDriver driver, ClientServer clients, CounterClient counter, DiscoveryClient discovery) {

  /** Interval between checks for a second process, with which this one shares its limits. */
  private static final long OTHER_PROCESS_CHECK_INTERVAL_MS = 500;

  /**
   * Creates the components and connects them to the shared counter and to discovery; clients are
   * not accepted yet. Must be called on the event loop's thread.
   *
   * @param startedProcesses locks that tell which processes of this gateway have started
   */
  static GatewayComponents start(
      GatewayConfig config,
      EventLoop loop,
      MonotonicClock clock,
      Lifecycle lifecycle,
      UpgradeCoordinator startedProcesses) {
    ConnectionBudget budget = new ConnectionBudget(config.limits().maxConnections());
    Dialer backendDialer = Dialer.sockets(loop, config.connectTimeoutMs());
    RequestPath path =
        RequestPath.create(config, config.seed(), loop, clock, backendDialer, budget, lifecycle);
    loop.scheduleWithFixedDelay(
        new UpgradeSharing(budget, config.limits(), startedProcesses, path.driver()),
        0,
        OTHER_PROCESS_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
    CounterClient counter =
        new CounterClient(
            loop,
            clock,
            Dialer.sockets(loop, CounterClient.CONNECT_TIMEOUT_MS),
            config.counterAddress(),
            config.settings().capabilities().counterTimeoutMs(),
            path.driver()::onCounterReplied);
    counter.start();
    EndpointUpdate configuredEndpoints = EndpointUpdate.fromConfiguration(config.knownEndpoints());
    path.driver().start(counter, configuredEndpoints);
    DiscoveryClient discovery =
        new DiscoveryClient(
            loop,
            clock,
            DiscoveryClient.dialer(loop),
            config.discoveryAddress(),
            configuredEndpoints.version(),
            config.limits().maxEndpoints(),
            path.driver()::onEndpointUpdate);
    discovery.start();
    return new GatewayComponents(path.driver(), path.clients(), counter, discovery);
  }
}
