package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.config.GatewayConfig;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/** Tests clients that stop reading a streamed response, with a clock that the test advances. */
@Timeout(60)
class StalledClientTest {

  private static final long CLOCK_STEP_NANOS = TimeUnit.SECONDS.toNanos(31);
  private static final int CHUNK_BYTES = 64 * 1024;
  private static final String CHUNK =
      Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";

  @TempDir Path sharedFolder;

  private final GatewayFixture peers = new GatewayFixture();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final EventLoop loop = group.next();
  private final AtomicLong clockNanos = new AtomicLong();
  private final AtomicLong chunksWritten = new AtomicLong();
  private final CountDownLatch backendConnectionClosed = new CountDownLatch(1);

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    peers.close();
  }

  /**
   * To an HTTP/1.0 client, the end of the connection is the end of a response without a length. A
   * response that the gateway abandons because the client stopped reading must not look like a
   * complete one.
   */
  @Test
  void unreadResponseWithoutLengthEndsWithReset() throws Exception {
    peers.backend.responder = (request, out) -> streamEndlessResponse(out);
    try (TestClient client = new TestClient(startGateway())) {
      client.exchange(TestRequests.get("r1", 3000).replace("HTTP/1.1", "HTTP/1.0"));
      awaitBackPressure();
      while (!backendConnectionClosed.await(100, TimeUnit.MILLISECONDS)) {
        clockNanos.addAndGet(CLOCK_STEP_NANOS);
      }
      assertThrows(IOException.class, client::readRemainingByteCount);
    }
  }

  private boolean streamEndlessResponse(OutputStream out) throws IOException {
    TextStreams.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    try {
      while (true) {
        TextStreams.write(out, CHUNK);
        chunksWritten.incrementAndGet();
      }
    } catch (IOException e) {
      backendConnectionClosed.countDown();
      throw e;
    }
  }

  /**
   * Returns once the backend has written some chunks and back pressure has blocked it for 100 ms.
   */
  private void awaitBackPressure() throws InterruptedException {
    long previous;
    do {
      previous = chunksWritten.get();
      TimeUnit.MILLISECONDS.sleep(100);
    } while (previous == 0 || chunksWritten.get() != previous);
  }

  private InetSocketAddress startGateway() throws Exception {
    GatewayConfig config =
        GatewayFixture.parse(
            peers.config(EndpointListJson.entry("s-1", peers.backend.port(), "active")));
    MonotonicClock clock = new MonotonicClock(clockNanos::get);
    Lifecycle lifecycle = new Lifecycle(clock);
    UpgradeCoordinator startedProcesses =
        new UpgradeCoordinator(sharedFolder, UpgradeCoordinator.STARTED);
    GatewayComponents components =
        loop.submit(() -> GatewayComponents.start(config, loop, clock, lifecycle, startedProcesses))
            .sync()
            .getNow();
    lifecycle.startServing();
    return (InetSocketAddress)
        components.clients().listen(group, config.listenAddress()).sync().channel().localAddress();
  }
}
