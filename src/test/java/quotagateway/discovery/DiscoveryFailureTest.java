package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeDiscovery;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.ScriptedServer;
import quotagateway.testing.TextStreams;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/**
 * Tests that the gateway receives a change within 6 s after a watch fell silent, even if the next
 * watches fail. The gateway counts as notified of a change 6 s after discovery has the change and
 * is reachable, even if watches fail in between. Here a watch falls silent, which is detected after
 * 2.5 s, and the next watches fail: as many watches for each kind of failure as fit into the
 * remaining time at that failure's longest duration.
 */
@Timeout(40)
class DiscoveryFailureTest {

  private static final long NOTIFICATION_LIMIT_MS = 6_000;
  private static final long SILENCE_TIMEOUT_MS = 2_500;

  /** Margin for delays of the machine. */
  private static final long MARGIN_MS = 900;

  private static final String RESPONSE_HEAD = FakeDiscovery.RESPONSE_HEAD;

  /**
   * The kinds of failure of a watch, each with the longest time by which it delays the next watch.
   */
  enum Failure {
    NO_DESCRIPTOR(300),
    REFUSED(300),
    CONNECT_TIMEOUT(800),
    CLOSED(300),
    NO_RESPONSE(500),
    SLOW_HEADER(500),
    HEADER_ONLY(2_500),
    LIST_TRUNCATED(600),
    CHUNK_HEADER_TRUNCATED(2_500),
    END_WITHOUT_DATA(300),
    ERROR_STATUS(300);

    final int watchCount;

    Failure(long longestDelayMs) {
      watchCount =
          (int) ((NOTIFICATION_LIMIT_MS - SILENCE_TIMEOUT_MS - MARGIN_MS) / longestDelayMs);
    }
  }

  private final List<ScriptedServer> agents = new ArrayList<>();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final EventLoop loop = group.next();
  private final List<SocketChannel> backlogChannels = new ArrayList<>();
  private ServerSocket fullServer;
  private InetSocketAddress refusingAddress;

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    for (SocketChannel channel : backlogChannels) {
      channel.close();
    }
    fullServer.close();
    for (ScriptedServer agent : agents) {
      agent.close();
    }
  }

  @Test
  void receivesMissedChangeInTimeWhenWatchesAfterSilentWatchFail() throws Exception {
    fullServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    for (int i = 0; i < 8; i++) {
      backlogChannels.add(SocketChannel.open());
      backlogChannels.get(i).configureBlocking(false);
      backlogChannels.get(i).connect(fullServer.getLocalSocketAddress());
    }
    try (ServerSocket closedServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      refusingAddress = (InetSocketAddress) closedServer.getLocalSocketAddress();
    }
    Map<Failure, CompletableFuture<Long>> received = new EnumMap<>(Failure.class);
    for (Failure failure : Failure.values()) {
      received.put(failure, new FailingWatches(failure).start());
    }
    assertAll(
        received.entrySet().stream()
            .map(
                entry ->
                    () -> {
                      long ms = entry.getValue().get(20, TimeUnit.SECONDS);
                      assertTrue(
                          ms < NOTIFICATION_LIMIT_MS,
                          entry.getKey() + ": received " + ms + " ms after the watch fell silent");
                    }));
  }

  /** A client whose first watch falls silent and whose next watches all fail in the same way. */
  private final class FailingWatches {

    private final Failure failure;

    /** Number of watches dialed so far. */
    private final AtomicInteger dialedCount = new AtomicInteger();

    private final AtomicLong silentSinceNanos = new AtomicLong();
    private final CompletableFuture<Long> received = new CompletableFuture<>();
    private final Dialer sockets = DiscoveryClient.dialer(loop);
    private final ScriptedServer agent = new ScriptedServer(50, this::serve);

    FailingWatches(Failure failure) {
      this.failure = failure;
      agents.add(agent);
    }

    /**
     * Starts the client.
     *
     * @return the time from when the first watch fell silent until the change is received, in
     *     milliseconds
     */
    CompletableFuture<Long> start() {
      DiscoveryClient client =
          new DiscoveryClient(
              loop,
              new MonotonicClock(),
              this::dial,
              agent.address(),
              7,
              1_000,
              update -> received.complete(msSinceSilence()));
      loop.execute(client::start);
      return received;
    }

    private long msSinceSilence() {
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silentSinceNanos.get());
    }

    private boolean fails(int number) {
      return number > 1 && number <= 1 + failure.watchCount;
    }

    private void serve(InputStream in, OutputStream out, Socket socket) throws IOException {
      HttpMessage.read(in);
      int number = dialedCount.get();
      if (number == 1) {
        TextStreams.write(out, RESPONSE_HEAD + FakeDiscovery.chunk("\n"));
        silentSinceNanos.set(System.nanoTime());
      } else if (fails(number)) {
        fail(failure, in, out, socket);
      } else {
        TextStreams.write(
            out, RESPONSE_HEAD + FakeDiscovery.chunk(EndpointListJson.list(8, true) + "\n"));
      }
    }

    private ChannelFuture dial(InetSocketAddress address, ChannelHandler handler) {
      if (!fails(dialedCount.incrementAndGet())) {
        return sockets.dial(address, handler);
      }
      return switch (failure) {
        case NO_DESCRIPTOR -> dialWithoutDescriptor(address, handler);
        case REFUSED -> sockets.dial(refusingAddress, handler);
        case CONNECT_TIMEOUT ->
            sockets.dial((InetSocketAddress) fullServer.getLocalSocketAddress(), handler);
        default -> sockets.dial(address, handler);
      };
    }

    private ChannelFuture dialWithoutDescriptor(InetSocketAddress address, ChannelHandler handler) {
      return new Bootstrap()
          .group(loop)
          .handler(handler)
          .channelFactory(
              () -> {
                throw new ChannelException("no file descriptors left");
              })
          .connect(address);
    }
  }

  private static void fail(Failure failure, InputStream in, OutputStream out, Socket socket)
      throws IOException {
    switch (failure) {
      case CLOSED -> socket.close();
      case SLOW_HEADER -> trickle(RESPONSE_HEAD, in, out, socket);
      case HEADER_ONLY -> TextStreams.write(out, RESPONSE_HEAD);
      case LIST_TRUNCATED ->
          TextStreams.write(
              out,
              RESPONSE_HEAD + FakeDiscovery.chunk(EndpointListJson.list(8, true).substring(0, 20)));
      case CHUNK_HEADER_TRUNCATED -> TextStreams.write(out, RESPONSE_HEAD + "1f");
      case END_WITHOUT_DATA -> TextStreams.write(out, RESPONSE_HEAD + "0\r\n\r\n");
      case ERROR_STATUS -> TextStreams.write(out, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
      default -> {}
    }
  }

  /** Sends one byte at a time until the peer closes the connection. */
  private static void trickle(String text, InputStream in, OutputStream out, Socket socket)
      throws IOException {
    socket.setSoTimeout(100);
    for (int i = 0; i < text.length(); i++) {
      TextStreams.write(out, text.substring(i, i + 1));
      try {
        if (in.read() < 0) {
          return;
        }
      } catch (SocketTimeoutException e) {
        // The peer keeps the connection open.
      }
    }
  }
}
