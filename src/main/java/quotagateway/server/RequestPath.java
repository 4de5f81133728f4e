package quotagateway.server;

import io.netty.channel.EventLoop;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.client.ClientServer;
import quotagateway.client.RequestReader;
import quotagateway.config.GatewayConfig;
import quotagateway.driver.PolicyDriver;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.GatewayPolicy;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;

/**
 * The parts that a request passes between its client and a backend. They belong to one event loop.
 *
 * @param driver of the policy
 * @param clients accepts requests, and gives them to the driver
 */
record RequestPath(PolicyDriver driver, ClientServer clients) {

  /**
   * Creates the parts; the driver is not started yet.
   *
   * @param seed of the policy's random draws
   * @param backendDialer opens connections to backends
   * @param budget shared by the connections of clients and to backends
   */
  static RequestPath create(
      GatewayConfig config,
      long seed,
      EventLoop loop,
      MonotonicClock clock,
      Dialer backendDialer,
      ConnectionBudget budget,
      Lifecycle lifecycle) {
    GatewayPolicy policy = new GatewayPolicy(config.settings(), seed);
    BackendConnectionPool backends =
        new BackendConnectionPool(
            loop, clock, backendDialer, config.idleTimeoutMs(), budget, policy.servingEndpoints());
    PolicyDriver driver = new PolicyDriver(loop, clock, policy, backends);
    ClientServer clients =
        new ClientServer(
            loop,
            clock,
            driver,
            backends,
            new RequestReader(config.settings()),
            config.limits(),
            budget,
            lifecycle);
    return new RequestPath(driver, clients);
  }
}
