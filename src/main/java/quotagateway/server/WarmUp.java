package quotagateway.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.client.ClientServer;
import quotagateway.client.RequestReader;
import quotagateway.config.GatewayConfig;
import quotagateway.counter.CounterClient;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.driver.PolicyDriver;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.RequestClass;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.MonotonicClock;

/**
 * Takes made-up requests through a front door of its own, without sockets, so that the code is
 * loaded and compiled before the first client comes. Guards against a start that lasts into service
 * where CPU is short: cold code needs some ten times the CPU for a request. Harm: the start takes
 * longer, by the limit at most, and a restarted door is missed for so long.
 */
final class WarmUp {

  private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());

  /** Ten times what the compiler counts to before it compiles a method: 20, by the deploy file. */
  static final int REQUESTS = 200;

  /**
   * A start is worth so much more CPU at most: a restarted door is missed for as long as it takes.
   * The requests need some 500 ms of it.
   */
  private static final double LIMIT_CPU_MS = 1_200;

  private static final double LEAST_CORES = 0.1;
  private static final int BACKENDS = 8;
  private static final int CUSTOMERS = 50;

  /** Requests on one connection. */
  private static final int KEPT_FOR = 10;

  private final GatewayConfig config;
  private final MonotonicClock clock = new MonotonicClock();

  /** Its timers never run, and nothing keeps it alive afterwards. */
  private final EventLoop loop = new EmbeddedChannel().eventLoop();

  private final List<EmbeddedChannel> backends = new ArrayList<>();
  private final List<EmbeddedChannel> counters = new ArrayList<>();
  private int served;

  WarmUp(GatewayConfig config) {
    this.config = config;
  }

  /**
   * The time in which the limit's CPU is to be had from the part of a core that this front door
   * gets.
   */
  double limitMs() {
    return LIMIT_CPU_MS / Math.min(1, Math.max(LEAST_CORES, config.limits().cores()));
  }

  /** Stops after the limit in any case; gives how many requests were served. */
  int run(double limitMs) {
    try {
      exchange(clock.now() + limitMs);
    } catch (RuntimeException e) {
      LOG.log(Level.WARNING, "not warmed up", e);
    }
    return served;
  }

  private void exchange(double until) {
    ConnectionBudget places = new ConnectionBudget(Integer.MAX_VALUE / 2);
    GatewayPolicy policy = new GatewayPolicy(config.settings(), 1);
    BackendConnectionPool pool =
        new BackendConnectionPool(
            loop,
            clock,
            (address, handler) -> open(backends, handler),
            config.idleTimeoutMs(),
            places,
            policy.listing());
    PolicyDriver driver = new PolicyDriver(loop, clock, policy, pool);
    ClientServer clients =
        new ClientServer(
            loop,
            clock,
            driver,
            pool,
            new RequestReader(config.settings()),
            config.limits(),
            places,
            new Lifecycle(clock));
    CounterClient counter =
        new CounterClient(
            loop,
            clock,
            (address, handler) -> open(counters, handler),
            config.discoveryAddress(),
            config.settings().capabilities().counterTimeoutMs(),
            driver::onCounterReplied);
    counter.start();
    driver.start(counter, roster());
    for (int i = 0; i < REQUESTS && clock.now() < until; i += KEPT_FOR) {
      EmbeddedChannel client =
          new EmbeddedChannel(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                  clients.adopt(channel);
                }
              });
      for (int k = 0; k < KEPT_FOR; k++) {
        client.writeInbound(text(request(i + k)));
        answer(counters, "ok 1\r\n");
        answer(backends, "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: 4\r\n\r\nfine");
        ByteBuf answered = client.readOutbound();
        served +=
            answered != null
                    && answered.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200")
                ? 1
                : 0;
        client.releaseOutbound();
        if (answered != null) {
          answered.release();
        }
      }
      client.close();
    }
    backends.forEach(Channel::close);
    counters.forEach(Channel::close);
  }

  private static ChannelFuture open(List<EmbeddedChannel> among, ChannelHandler handler) {
    EmbeddedChannel channel = new EmbeddedChannel(handler);
    among.add(channel);
    return channel.newSucceededFuture();
  }

  /** Answers on each connection on which something was asked. */
  private static void answer(List<EmbeddedChannel> among, String with) {
    for (EmbeddedChannel channel : List.copyOf(among)) {
      if (channel.releaseOutbound()) {
        channel.writeInbound(text(with));
      }
    }
    among.removeIf(channel -> !channel.isActive());
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static EndpointUpdate roster() {
    List<Endpoint> entries = new ArrayList<>();
    for (long id = 1; id <= BACKENDS; id++) {
      entries.add(new Endpoint(id, id % 2 == 0 ? "a" : "b", 0, EndpointState.SERVING, 1, 0, id));
    }
    return new EndpointUpdate(1, true, entries);
  }

  private String request(int number) {
    List<RequestClass> classes = config.settings().requestClasses();
    List<Plan> plans = config.settings().plans();
    RequestClass type = classes.get(number % classes.size());
    Plan plan = plans.get(number / classes.size() % plans.size());
    boolean safe = type.idempotency() == Idempotency.IDEMPOTENT;
    return (safe ? "GET /" : "POST /")
        + type.name()
        + "/1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: w"
        + number
        + "\r\nRequest-Class: "
        + type.name()
        + "\r\nX-Plan: "
        + plan.name()
        + "\r\nX-Customer: "
        + String.format("%016x", number % CUSTOMERS)
        + "\r\nRequest-Timeout-Ms: "
        + (long) Math.max(1, type.deadlineMs())
        + "\r\nIdempotency-Key: w"
        + number
        + "\r\nX-Quota: units=1,spread=1,first=0"
        + (safe ? "" : "\r\nContent-Length: 4")
        + "\r\n\r\n"
        + (safe ? "" : "body");
  }
}
