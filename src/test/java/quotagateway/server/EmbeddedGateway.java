package quotagateway.server;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import quotagateway.config.GatewayConfig;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.testing.FakeHeap;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.PausableChannel;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.HeapWatch;
import quotagateway.transport.MonotonicClock;

/**
 * The path of requests from clients to one backend, without sockets and with a clock that the test
 * advances. The policy uses no counter.
 */
final class EmbeddedGateway implements Closeable {

  /** The backend's ends of the gateway's connections, in the order in which they were opened. */
  final List<PausableChannel> backends = new ArrayList<>();

  /** The heap that the gateway watches. */
  final FakeHeap heap = new FakeHeap();

  final Lifecycle lifecycle;
  final RequestPath path;
  private final GatewayFixture peers = new GatewayFixture();
  private final EmbeddedChannel timers = new EmbeddedChannel();
  private final AtomicLong nowNanos = new AtomicLong();
  private final List<PausableChannel> clients = new ArrayList<>();

  EmbeddedGateway() throws IOException, InvalidConfigurationException {
    this("{\"cores\":1,\"memory_mb\":128,\"sockets\":1024}");
  }

  /**
   * Creates a gateway that serves.
   *
   * @param limits the limits of its configuration
   */
  EmbeddedGateway(String limits) throws IOException, InvalidConfigurationException {
    GatewayConfig config =
        GatewayFixture.parse(
            peers
                .config()
                .replace("\"Counter\":true", "\"Counter\":false")
                .replace("\"seed\"", "\"limits\":" + limits + ",\"seed\""));
    timers.freezeTime();
    MonotonicClock clock = new MonotonicClock(nowNanos::get);
    lifecycle = new Lifecycle(clock);
    path =
        RequestPath.create(
            config,
            1,
            timers.eventLoop(),
            clock,
            (address, handler) -> connectBackend(handler),
            new ConnectionBudget(config.limits().maxConnections()),
            new HeapWatch(heap),
            lifecycle);
    Endpoint endpoint = new Endpoint(1, "a", 0, EndpointState.SERVING, 1, 0, 1);
    path.driver().start(null, new EndpointUpdate(1, true, List.of(endpoint)));
    lifecycle.startServing();
  }

  private ChannelFuture connectBackend(ChannelHandler handler) {
    PausableChannel backend = new PausableChannel(handler);
    backend.freezeTime();
    backends.add(backend);
    return backend.newSucceededFuture();
  }

  /** Connects a client. */
  PausableChannel connectClient() {
    PausableChannel client =
        new PausableChannel(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                path.clients().addConnection(channel);
              }
            });
    client.freezeTime();
    clients.add(client);
    return client;
  }

  /** Lets a peer send text, in a buffer of the text's size. */
  static void send(EmbeddedChannel peer, String text) {
    peer.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
  }

  /** Lets a peer send text, in a read buffer of the given capacity, which is returned. */
  static ByteBuf sendInBuffer(EmbeddedChannel peer, String text, int capacity) {
    ByteBuf readBuffer = Unpooled.directBuffer(capacity);
    readBuffer.writeCharSequence(text, US_ASCII);
    peer.writeInbound(readBuffer);
    return readBuffer;
  }

  /** Advances the clock, and runs the timers that are due. */
  void advance(long ms) {
    for (long i = 0; i < ms; i++) {
      nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1));
      advance(timers);
      backends.forEach(EmbeddedGateway::advance);
      clients.forEach(EmbeddedGateway::advance);
    }
  }

  private static void advance(EmbeddedChannel channel) {
    channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();
  }

  @Override
  public void close() throws IOException {
    clients.forEach(EmbeddedChannel::finishAndReleaseAll);
    backends.forEach(EmbeddedChannel::finishAndReleaseAll);
    peers.close();
  }
}
