package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollSocketChannel;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.ScriptedServer;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestLatches;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/**
 * Epoll reports a hang-up by descriptor number. If one event of a batch closes connections and the
 * next one opens a connection that reuses one of their numbers, the hang-ups still in the batch
 * must not reach the new connection.
 */
@Timeout(60)
class StaleHangUpTest {

  /**
   * Number of connections closed at once. With a single one, a file that the JVM opens at the same
   * time could take the only free number.
   */
  private static final int CLOSED_CONNECTIONS = 8;

  /**
   * Larger than what is forwarded before a backend reads any of the body, and smaller than the
   * kernel's buffers.
   */
  private static final int HALF_BODY_BYTES = 700_000;

  /** More turns of the event loop than it needs to read the bytes sent so far. */
  private static final int LOOP_TURNS = 100;

  private final GatewayFixture fixture = new GatewayFixture();
  private final BlockingQueue<Socket> acceptedSockets = new LinkedBlockingQueue<>();
  private final ScriptedServer peer =
      fixture.listen(50, (in, out, socket) -> acceptedSockets.add(socket));
  private final CountDownLatch bodyMayBeRead = new CountDownLatch(1);
  private final CountDownLatch unblocked = new CountDownLatch(1);
  private final List<EpollSocketChannel> connectionsToClose = new ArrayList<>();
  private final List<EpollSocketChannel> placeholders = new ArrayList<>();
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    assumeTrue(Epoll.isAvailable(), "only epoll identifies connections by descriptor number");
    int backend =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  in.read();
                  TestLatches.await(bodyMayBeRead);
                  HttpMessage.read(in);
                  TextStreams.write(out, FakeBackend.OK_RESPONSE);
                })
            .port();
    gateway = fixture.start(fixture.config(EndpointListJson.entry("s-1", backend, "active")));
  }

  @AfterEach
  void close() throws Exception {
    for (EpollSocketChannel placeholder : placeholders) {
      placeholder.fd().close();
    }
    fixture.close();
  }

  /**
   * While the event loop is blocked, these events arrive in order: bytes for a connection whose
   * handler closes other connections, a client that reuses the descriptor number of one of those,
   * and the hang-ups of the closed connections.
   */
  @Test
  void hangUpOfClosedConnectionDoesNotReachNewClientConnection() throws Exception {
    EpollSocketChannel triggerChannel =
        connect(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                occupyLowerNumbers();
                connectionsToClose.forEach(Channel::close);
              }
            });
    Socket triggerPeer = TestQueues.next(acceptedSockets);
    List<Socket> peersToHangUp = openConnectionsToClose();
    blockLoop();
    TextStreams.write(triggerPeer.getOutputStream(), "x");
    TestClient client = fixture.client();
    for (Socket peerToHangUp : peersToHangUp) {
      peerToHangUp.close();
    }
    unblocked.countDown();

    client.send(
        TestRequests.post("r1", "").replace("Length: 0", "Length: " + 2 * HALF_BODY_BYTES)
            + "x".repeat(HALF_BODY_BYTES));
    for (int turn = 0; turn < LOOP_TURNS; turn++) {
      gateway.eventLoop.submit(() -> {}).sync();
    }
    bodyMayBeRead.countDown();
    client.send("x".repeat(HALF_BODY_BYTES));
    assertEquals(200, client.receive().status());
    triggerChannel.close();
  }

  /** A hang-up that reached a connection during its connect would fail the attempt on it. */
  @Test
  void hangUpOfClosedConnectionDoesNotFailPendingConnect() throws Exception {
    CompletableFuture<ChannelFuture> connectStarted = new CompletableFuture<>();
    EpollSocketChannel triggerChannel =
        connect(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                occupyLowerNumbers();
                connectionsToClose.forEach(Channel::close);
                connectStarted.complete(startConnect(new ChannelInboundHandlerAdapter()));
              }
            });
    Socket triggerPeer = TestQueues.next(acceptedSockets);
    List<Socket> peersToHangUp = openConnectionsToClose();
    blockLoop();
    TextStreams.write(triggerPeer.getOutputStream(), "x");
    for (Socket peerToHangUp : peersToHangUp) {
      peerToHangUp.close();
    }
    unblocked.countDown();
    ChannelFuture connectFuture = connectStarted.get(10, TimeUnit.SECONDS);
    connectFuture.sync();
    gateway.eventLoop.submit(() -> {}).sync();
    assertTrue(connectFuture.channel().isActive());
    connectFuture.channel().close();
    triggerChannel.close();
  }

  private List<Socket> openConnectionsToClose() throws InterruptedException {
    List<Socket> peers = new ArrayList<>();
    for (int i = 0; i < CLOSED_CONNECTIONS; i++) {
      connectionsToClose.add(connect(new ChannelInboundHandlerAdapter()));
      peers.add(TestQueues.next(acceptedSockets));
    }
    return peers;
  }

  /**
   * Occupies the free lower numbers, so that the next descriptor reuses the number of a closed
   * connection.
   */
  private void occupyLowerNumbers() {
    int highest =
        connectionsToClose.stream()
            .mapToInt(channel -> channel.fd().intValue())
            .max()
            .orElseThrow();
    do {
      placeholders.add(new EpollSocketChannel());
    } while (placeholders.get(placeholders.size() - 1).fd().intValue() < highest);
  }

  private void blockLoop() throws InterruptedException {
    CountDownLatch loopBlocked = new CountDownLatch(1);
    gateway.eventLoop.execute(
        () -> {
          loopBlocked.countDown();
          TestLatches.await(unblocked);
        });
    loopBlocked.await();
  }

  private EpollSocketChannel connect(ChannelInboundHandlerAdapter handler)
      throws InterruptedException {
    return (EpollSocketChannel) startConnect(handler).sync().channel();
  }

  private ChannelFuture startConnect(ChannelInboundHandlerAdapter handler) {
    return new Bootstrap()
        .group(gateway.eventLoop)
        .channel(EpollSocketChannel.class)
        .handler(handler)
        .connect(peer.address());
  }
}
