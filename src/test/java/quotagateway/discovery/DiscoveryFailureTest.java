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
 * A change counts as notified 6 s after discovery had it and could be reached, even if watches fail
 * meanwhile. Here a watch falls silent, which is noticed after 2.5 s, and the watches that follow
 * it fail: as many of each kind of failure as its longest duration leaves room for.
 */
@Timeout(40)
class DiscoveryFailureTest {

  private static final long NOTIFICATION_LIMIT_MS = 6_000;
  private static final long SILENT_MS = 2_500;

  /** Left over for a machine that is late. */
  private static final long MARGIN_MS = 900;

  private static final String HEAD = FakeDiscovery.RESPONSE_HEAD;

  /** How a watch fails, and for how long at most that delays the next one. */
  enum Failure {
    NO_DESCRIPTOR(300),
    REFUSED(300),
    NEVER_UP(800),
    CLOSED(300),
    SILENT(500),
    HEAD_TRICKLES(500),
    HEAD_ONLY(2_500),
    LIST_CUT(600),
    CHUNK_CUT(2_500),
    ENDS_WITHOUT_DATA(300),
    ERROR(300);

    final int watches;

    Failure(long longestMs) {
      watches = (int) ((NOTIFICATION_LIMIT_MS - SILENT_MS - MARGIN_MS) / longestMs);
    }
  }

  private final List<ScriptedServer> agents = new ArrayList<>();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final EventLoop loop = group.next();
  private final List<SocketChannel> filling = new ArrayList<>();
  private ServerSocket full;
  private InetSocketAddress refusing;

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    for (SocketChannel channel : filling) {
      channel.close();
    }
    full.close();
    for (ScriptedServer agent : agents) {
      agent.close();
    }
  }

  @Test
  void receivesInTimeWhatASilentWatchMissedHoweverTheNextOnesFail() throws Exception {
    full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    for (int i = 0; i < 8; i++) {
      filling.add(SocketChannel.open());
      filling.get(i).configureBlocking(false);
      filling.get(i).connect(full.getLocalSocketAddress());
    }
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      refusing = (InetSocketAddress) closed.getLocalSocketAddress();
    }
    Map<Failure, CompletableFuture<Long>> received = new EnumMap<>(Failure.class);
    for (Failure failure : Failure.values()) {
      received.put(failure, new FailingWatches(failure).start());
    }
    assertAll(
        received.entrySet().stream()
            .map(
                t ->
                    () -> {
                      long ms = t.getValue().get(20, TimeUnit.SECONDS);
                      assertTrue(
                          ms < NOTIFICATION_LIMIT_MS,
                          t.getKey() + ": received " + ms + " ms after the watch fell silent");
                    }));
  }

  /** A client whose first watch falls silent, and whose next ones fail in one way. */
  private final class FailingWatches {

    private final Failure failure;

    /** The watches that were dialed so far. */
    private final AtomicInteger dialed = new AtomicInteger();

    private final AtomicLong silentSince = new AtomicLong();
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
     * @return how many milliseconds after the first watch fell silent the change is received
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
      return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silentSince.get());
    }

    private boolean fails(int number) {
      return number > 1 && number <= 1 + failure.watches;
    }

    private void serve(InputStream in, OutputStream out, Socket socket) throws IOException {
      HttpMessage.read(in);
      int number = dialed.get();
      if (number == 1) {
        TextStreams.write(out, HEAD + FakeDiscovery.chunk("\n"));
        silentSince.set(System.nanoTime());
      } else if (fails(number)) {
        fail(failure, in, out, socket);
      } else {
        TextStreams.write(out, HEAD + FakeDiscovery.chunk(EndpointListJson.list(8, true) + "\n"));
      }
    }

    private ChannelFuture dial(InetSocketAddress address, ChannelHandler handler) {
      if (!fails(dialed.incrementAndGet())) {
        return sockets.dial(address, handler);
      }
      return switch (failure) {
        case NO_DESCRIPTOR -> dialWithoutDescriptor(address, handler);
        case REFUSED -> sockets.dial(refusing, handler);
        case NEVER_UP -> sockets.dial((InetSocketAddress) full.getLocalSocketAddress(), handler);
        default -> sockets.dial(address, handler);
      };
    }

    private ChannelFuture dialWithoutDescriptor(InetSocketAddress address, ChannelHandler handler) {
      return new Bootstrap()
          .group(loop)
          .handler(handler)
          .channelFactory(
              () -> {
                throw new ChannelException("no descriptor is left");
              })
          .connect(address);
    }
  }

  private static void fail(Failure failure, InputStream in, OutputStream out, Socket socket)
      throws IOException {
    switch (failure) {
      case CLOSED -> socket.close();
      case HEAD_TRICKLES -> trickle(HEAD, in, out, socket);
      case HEAD_ONLY -> TextStreams.write(out, HEAD);
      case LIST_CUT ->
          TextStreams.write(
              out, HEAD + FakeDiscovery.chunk(EndpointListJson.list(8, true).substring(0, 20)));
      case CHUNK_CUT -> TextStreams.write(out, HEAD + "1f");
      case ENDS_WITHOUT_DATA -> TextStreams.write(out, HEAD + "0\r\n\r\n");
      case ERROR -> TextStreams.write(out, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
      default -> {}
    }
  }

  /** A byte from time to time, for as long as the other side keeps the connection. */
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
        // It still listens.
      }
    }
  }
}
