package quotagateway.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import quotagateway.client.ClientServer;
import quotagateway.config.GatewayConfig;
import quotagateway.config.ResourceLimits;
import quotagateway.counter.CounterClient;
import quotagateway.discovery.DiscoveryClient;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.driver.PolicyDriver;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;

/**
 * The running parts of one gateway. All belong to its event loop, on whose thread their methods are
 * called, except where they say otherwise.
 */
record GatewayComponents(
    PolicyDriver driver, ClientServer clients, CounterClient counter, DiscoveryClient discovery) {

  /** How soon descriptors are shared with a second process that has started. */
  private static final long OTHER_PROCESS_CHECK_INTERVAL_MS = 500;

  /**
   * Creates the parts and has them connect to the counter and to discovery; clients are not
   * accepted yet. To be called on the event loop's thread.
   *
   * @param started which processes of this gateway have started
   */
  static GatewayComponents start(
      GatewayConfig config,
      EventLoop loop,
      MonotonicClock clock,
      Lifecycle lifecycle,
      UpgradeCoordinator started) {
    ConnectionBudget budget = new ConnectionBudget(config.limits().connections());
    loop.scheduleWithFixedDelay(
        () -> shareDescriptors(budget, config.limits(), started),
        0,
        OTHER_PROCESS_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
    Dialer backendDialer = Dialer.sockets(loop, config.connectTimeoutMs());
    RequestPath path =
        RequestPath.create(config, config.seed(), loop, clock, backendDialer, budget, lifecycle);
    CounterClient counter =
        new CounterClient(
            loop,
            clock,
            Dialer.sockets(loop, CounterClient.CONNECT_TIMEOUT_MS),
            config.counterAddress(),
            config.settings().capabilities().counterTimeoutMs(),
            path.driver()::onCounterReplied);
    counter.start();
    EndpointUpdate known = EndpointUpdate.fromConfiguration(config.knownEndpoints());
    path.driver().start(counter, known);
    DiscoveryClient discovery =
        new DiscoveryClient(
            loop,
            clock,
            DiscoveryClient.dialer(loop),
            config.discoveryAddress(),
            known.version(),
            config.limits().endpoints(),
            path.driver()::onEndpointUpdate);
    discovery.start();
    return new GatewayComponents(path.driver(), path.clients(), counter, discovery);
  }

  /** While a second process runs beside this one, each has half of the descriptors. */
  private static void shareDescriptors(
      ConnectionBudget budget, ResourceLimits limits, UpgradeCoordinator started) {
    int shared = started.isOtherProcessPresent() ? limits.connectionsDuringUpgrade() : 0;
    budget.shareWithOtherProcess(shared);
  }
}
