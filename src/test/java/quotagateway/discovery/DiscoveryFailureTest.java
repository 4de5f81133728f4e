package quotagateway.discovery;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelException;
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
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TextStreams;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/**
 * A change counts as told 6 s after discovery had it and could be reached, whatever becomes of
 * calls. Here a watch falls silent, which shows after 2.5 s, and the calls that follow it fail, as
 * many of each kind as the sum of their longest times leaves room for.
 */
@Timeout(40)
class DiscoveryFailureTest {

  private static final long TOLD_MS = 6_000;
  private static final long SILENT_MS = 2_500;

  /** Left over for a machine that is late. */
  private static final long MARGIN_MS = 900;

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** How a call fails, and for how long at most the next one is put off by it. */
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
    ENDS_UNTOLD(300),
    ERROR(300);

    final int times;

    Failure(long longestMs) {
      times = (int) ((TOLD_MS - SILENT_MS - MARGIN_MS) / longestMs);
    }
  }

  private final GatewayFixture fixture = new GatewayFixture();
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
    fixture.close();
  }

  @Test
  void whatIsMissedIsHeardInTimeWhateverBecomesOfTheNextCalls() throws Exception {
    full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    for (int i = 0; i < 8; i++) {
      filling.add(SocketChannel.open());
      filling.get(i).configureBlocking(false);
      filling.get(i).connect(full.getLocalSocketAddress());
    }
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      refusing = (InetSocketAddress) closed.getLocalSocketAddress();
    }
    Map<Failure, CompletableFuture<Long>> told = new EnumMap<>(Failure.class);
    for (Failure failure : Failure.values()) {
      told.put(failure, watchThrough(failure));
    }
    assertAll(
        told.entrySet().stream()
            .map(
                t ->
                    () -> {
                      long ms = t.getValue().get(20, TimeUnit.SECONDS);
                      assertTrue(
                          ms < TOLD_MS,
                          t.getKey() + ": told " + ms + " ms after the watch fell silent");
                    }));
  }

  /** How many milliseconds after the first watch fell silent the change is told. */
  private CompletableFuture<Long> watchThrough(Failure failure) {
    CompletableFuture<Long> told = new CompletableFuture<>();
    AtomicInteger calls = new AtomicInteger();
    AtomicLong silentSince = new AtomicLong();
    Dialer sockets = DiscoveryClient.dialer(loop);
    InetSocketAddress agent =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  HttpMessage.read(in);
                  int call = calls.get();
                  if (call == 1) {
                    TextStreams.write(out, HEAD + "1\r\n\n\r\n");
                    silentSince.set(System.nanoTime());
                  } else if (call > 1 + failure.times) {
                    TextStreams.write(out, HEAD + chunk(EndpointListJson.list(8, true) + "\n"));
                  } else {
                    fail(failure, in, out, socket);
                  }
                })
            .address();
    Dialer dialer =
        (address, handler) -> {
          int call = calls.incrementAndGet();
          boolean fails = call > 1 && call <= 1 + failure.times;
          if (fails && failure == Failure.NO_DESCRIPTOR) {
            return new Bootstrap()
                .group(loop)
                .handler(handler)
                .channelFactory(
                    () -> {
                      throw new ChannelException("no descriptor is left");
                    })
                .connect(address);
          }
          return sockets.dial(
              fails && failure == Failure.REFUSED
                  ? refusing
                  : fails && failure == Failure.NEVER_UP
                      ? (InetSocketAddress) full.getLocalSocketAddress()
                      : address,
              handler);
        };
    loop.execute(
        () ->
            new DiscoveryClient(
                    loop,
                    new MonotonicClock(),
                    dialer,
                    agent,
                    7,
                    1_000,
                    news ->
                        told.complete(
                            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silentSince.get())))
                .start());
    return told;
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static void fail(Failure failure, InputStream in, OutputStream out, Socket socket)
      throws IOException {
    switch (failure) {
      case CLOSED -> socket.close();
      case HEAD_TRICKLES -> trickle(HEAD, in, out, socket);
      case HEAD_ONLY -> TextStreams.write(out, HEAD);
      case LIST_CUT ->
          TextStreams.write(out, HEAD + chunk(EndpointListJson.list(8, true).substring(0, 20)));
      case CHUNK_CUT -> TextStreams.write(out, HEAD + "1f");
      case ENDS_UNTOLD -> TextStreams.write(out, HEAD + "0\r\n\r\n");
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
