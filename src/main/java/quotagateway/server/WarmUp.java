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
import quotagateway.client.ClientServer;
import quotagateway.config.GatewayConfig;
import quotagateway.counter.CounterClient;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.RequestClass;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.MonotonicClock;

/**
 * Serves synthetic requests with a separate gateway that has no sockets, so that the code is loaded
 * and compiled before the first client connects.
 *
 * <p>Cold code needs about ten times the CPU for a request. Without a warm-up, the first requests
 * would be served late where CPU is short. The drawback is a longer startup, by the time limit at
 * most, during which a restarted gateway is unavailable.
 */
final class WarmUp {

  private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());

  /** Ten times the compiler's invocation threshold, which the deploy file sets to 20. */
  static final int REQUESTS = 200;

  /**
   * The CPU time that a warm-up may use, since a restarted gateway is unavailable meanwhile. The
   * requests need about 500 ms of it.
   */
  private static final double MAX_CPU_MS = 1_200;

  /** Lower bound for the available share of a core, which bounds the time limit. */
  private static final double MIN_CORES = 0.1;

  private static final int BACKENDS = 8;
  private static final int CUSTOMERS = 50;
  private static final int REQUESTS_PER_CONNECTION = 10;

  private static final String COUNTER_REPLY = "ok 1\r\n";
  private static final String BACKEND_RESPONSE =
      "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: 4\r\n\r\nfine";
  private static final String SUCCESS = "HTTP/1.1 200";

  private final GatewayConfig config;
  private final MonotonicClock clock = new MonotonicClock();

  /** Timers on this loop never run, and no reference keeps it alive after the warm-up. */
  private final EventLoop loop = new EmbeddedChannel().eventLoop();

  /** The backends' ends of the gateway's connections. */
  private final List<EmbeddedChannel> backends = new ArrayList<>();

  private final List<EmbeddedChannel> counters = new ArrayList<>();
  private int servedRequests;

  WarmUp(GatewayConfig config) {
    this.config = config;
  }

  /**
   * Returns the wall-clock time, in milliseconds, in which the available share of a core provides
   * {@link #MAX_CPU_MS} of CPU time.
   */
  double timeLimitMs() {
    double cores = Math.min(1, Math.max(MIN_CORES, config.limits().cores()));
    return MAX_CPU_MS / cores;
  }

  /**
   * Serves the synthetic requests until all are served or the time limit has passed. Returns how
   * many succeeded.
   */
  int run(double timeLimitMs) {
    try {
      serveRequests(clock.now() + timeLimitMs);
    } catch (RuntimeException e) {
      // Either a bug, or settings for which no valid request can be built. Clients use another
      // gateway instance, so startup continues with code that is less warm.
      LOG.log(Level.WARNING, "warm-up failed served=" + servedRequests, e);
    }
    return servedRequests;
  }

  private void serveRequests(double endAtMs) {
    ClientServer clients = createClientServer();
    for (int i = 0; i < REQUESTS && clock.now() < endAtMs; i += REQUESTS_PER_CONNECTION) {
      serveConnection(clients, i);
    }
    backends.forEach(Channel::close);
    counters.forEach(Channel::close);
  }

  private ClientServer createClientServer() {
    ConnectionBudget unlimited = new ConnectionBudget(Integer.MAX_VALUE / 2);
    RequestPath path =
        RequestPath.create(
            config,
            1,
            loop,
            clock,
            (address, handler) -> connect(backends, handler),
            unlimited,
            new Lifecycle(clock));
    CounterClient counter =
        new CounterClient(
            loop,
            clock,
            (address, handler) -> connect(counters, handler),
            config.discoveryAddress(),
            config.settings().capabilities().counterTimeoutMs(),
            path.driver()::onCounterReplied);
    counter.start();
    path.driver().start(counter, endpoints());
    return path.clients();
  }

  private void serveConnection(ClientServer clients, int firstRequest) {
    EmbeddedChannel client =
        new EmbeddedChannel(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                clients.addConnection(channel);
              }
            });
    for (int i = 0; i < REQUESTS_PER_CONNECTION; i++) {
      client.writeInbound(ascii(request(firstRequest + i)));
      respond(counters, COUNTER_REPLY);
      respond(backends, BACKEND_RESPONSE);
      if (readsSuccess(client)) {
        servedRequests++;
      }
    }
    client.close();
  }

  private static boolean readsSuccess(EmbeddedChannel client) {
    ByteBuf response = client.readOutbound();
    boolean success =
        response != null && response.toString(StandardCharsets.US_ASCII).startsWith(SUCCESS);
    client.releaseOutbound();
    if (response != null) {
      response.release();
    }
    return success;
  }

  private static ChannelFuture connect(List<EmbeddedChannel> peers, ChannelHandler handler) {
    EmbeddedChannel channel = new EmbeddedChannel(handler);
    peers.add(channel);
    return channel.newSucceededFuture();
  }

  /** Sends the response on each connection that has received a request, and forgets closed ones. */
  private static void respond(List<EmbeddedChannel> peers, String response) {
    for (EmbeddedChannel channel : List.copyOf(peers)) {
      if (channel.releaseOutbound()) {
        channel.writeInbound(ascii(response));
      }
    }
    peers.removeIf(channel -> !channel.isActive());
  }

  private static ByteBuf ascii(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static EndpointUpdate endpoints() {
    List<Endpoint> endpoints = new ArrayList<>();
    for (long id = 1; id <= BACKENDS; id++) {
      String zone = id % 2 == 0 ? "a" : "b";
      endpoints.add(new Endpoint(id, zone, 0, EndpointState.SERVING, 1, 0, id));
    }
    return new EndpointUpdate(1, true, endpoints);
  }

  private String request(int number) {
    List<RequestClass> classes = config.settings().requestClasses();
    List<Plan> plans = config.settings().plans();
    RequestClass requestClass = classes.get(number % classes.size());
    Plan plan = plans.get(number / classes.size() % plans.size());
    boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
    return (idempotent ? "GET /" : "POST /")
        + requestClass.name()
        + "/1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: w"
        + number
        + "\r\nRequest-Class: "
        + requestClass.name()
        + "\r\nX-Plan: "
        + plan.name()
        + "\r\nX-Customer: "
        + String.format("%016x", number % CUSTOMERS)
        + "\r\nRequest-Timeout-Ms: "
        + (long) Math.max(1, requestClass.deadlineMs())
        + "\r\nIdempotency-Key: w"
        + number
        + "\r\nX-Quota: units=1,spread=1,first=0"
        + (idempotent ? "" : "\r\nContent-Length: 4")
        + "\r\n\r\n"
        + (idempotent ? "" : "body");
  }
}
