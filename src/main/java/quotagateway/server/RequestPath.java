package quotagateway.server;

import io.netty.channel.EventLoop;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.client.ClientServer;
import quotagateway.client.RequestReader;
import quotagateway.config.GatewayConfig;
import quotagateway.driver.PolicyDriver;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.HeapWatch;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;

/**
 * Holds the components that process a request between its client and a backend. They are confined
 * to one event loop.
 *
 * @param driver runs the policy
 * @param clients accepts requests and passes them to the driver
 */
record RequestPath(PolicyDriver driver, ClientServer clients) {

  /** Creates the components, which watch the heap of this process; the caller starts the driver. */
  static RequestPath create(
      GatewayConfig config,
      long seed,
      EventLoop loop,
      MonotonicClock clock,
      Dialer backendDialer,
      ConnectionBudget budget,
      Lifecycle lifecycle) {
    HeapWatch heapWatch = HeapWatch.ofThisProcess(config.limits().heapBytes());
    return create(config, seed, loop, clock, backendDialer, budget, heapWatch, lifecycle);
  }

  /**
   * Creates the components; the caller starts the driver.
   *
   * @param seed seed of the policy's random generator
   * @param backendDialer opens connections to backends
   * @param budget shared by client and backend connections
   * @param heapWatch watches the heap of the process
   */
  static RequestPath create(
      GatewayConfig config,
      long seed,
      EventLoop loop,
      MonotonicClock clock,
      Dialer backendDialer,
      ConnectionBudget budget,
      HeapWatch heapWatch,
      Lifecycle lifecycle) {
    PolicySettings settings = config.settings();
    GatewayPolicy policy =
        new GatewayPolicy(
            settings,
            seed,
            new EndpointIndex(settings.gatewayIndex()),
            config.limits().maxCustomers());
    PeerMemory memory = config.limits().newPeerMemory();
    BackendConnectionPool backendPool =
        new BackendConnectionPool(
            loop,
            clock,
            backendDialer,
            config.idleTimeoutMs(),
            budget,
            memory,
            policy.servingEndpoints());
    PolicyDriver driver = new PolicyDriver(loop, clock, policy, backendPool);
    ClientServer clients =
        new ClientServer(
            loop,
            clock,
            driver,
            backendPool,
            new RequestReader(settings),
            budget,
            memory,
            heapWatch,
            lifecycle);
    return new RequestPath(driver, clients);
  }
}
