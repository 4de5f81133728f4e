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
 * The kernel reports a hang-up by descriptor number. Where one event of a batch has connections
 * closed and the next has one opened, which gets a number of theirs, the hang-ups that are still in
 * the batch must not reach the new connection.
 */
@Timeout(60)
class StaleEventTest {

  /**
   * So many are closed at once that a file which the JVM opens meanwhile cannot take the only
   * number.
   */
  private static final int CLOSED = 8;

  /** More than passes before a backend takes any of it, and less than the kernel holds. */
  private static final int HALF = 700_000;

  /** The loop needs fewer to read what there is of it. */
  private static final int TURNS = 100;

  private final GatewayFixture fixture = new GatewayFixture();
  private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
  private final ScriptedServer other =
      fixture.listen(50, (in, out, socket) -> accepted.add(socket));
  private final CountDownLatch bodyIsRead = new CountDownLatch(1);
  private final CountDownLatch go = new CountDownLatch(1);
  private final List<EpollSocketChannel> closed = new ArrayList<>();
  private final List<EpollSocketChannel> spare = new ArrayList<>();
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    assumeTrue(Epoll.isAvailable(), "only there connections go by their descriptors' numbers");
    int backend =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  in.read();
                  TestLatches.await(bodyIsRead);
                  HttpMessage.read(in);
                  TextStreams.write(out, FakeBackend.OK_RESPONSE);
                })
            .port();
    gateway = fixture.start(fixture.config(EndpointListJson.entry("s-1", backend, "active")));
  }

  @AfterEach
  void close() throws Exception {
    for (EpollSocketChannel unused : spare) {
      unused.fd().close();
    }
    fixture.close();
  }

  /**
   * While the loop stands still there come, in this order: bytes for a connection whose handler
   * closes others, a client that gets the number of one of these, and the hang-ups of these.
   */
  @Test
  void aHangUpOfAClosedConnectionDoesNotReachAnOpenOne() throws Exception {
    EpollSocketChannel closing =
        dial(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                takeLowerNumbers();
                closed.forEach(Channel::close);
              }
            });
    Socket closingPeer = TestQueues.next(accepted);
    List<Socket> hangUps = openThoseToClose();
    standStill();
    TextStreams.write(closingPeer.getOutputStream(), "x");
    TestClient client = fixture.client();
    for (Socket hangUp : hangUps) {
      hangUp.close();
    }
    go.countDown();

    client.send(
        TestRequests.post("r1", "").replace("Length: 0", "Length: " + 2 * HALF) + "x".repeat(HALF));
    for (int turn = 0; turn < TURNS; turn++) {
      gateway.loop.submit(() -> {}).sync();
    }
    bodyIsRead.countDown();
    client.send("x".repeat(HALF));
    assertEquals(200, client.receive().status());
    closing.close();
  }

  /** Otherwise the attempt on it would end as though nothing lived there. */
  @Test
  void aHangUpOfAClosedConnectionDoesNotEndOneThatIsBeingOpened() throws Exception {
    CompletableFuture<ChannelFuture> dialed = new CompletableFuture<>();
    EpollSocketChannel closing =
        dial(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                takeLowerNumbers();
                closed.forEach(Channel::close);
                dialed.complete(begin(new ChannelInboundHandlerAdapter()));
              }
            });
    Socket closingPeer = TestQueues.next(accepted);
    List<Socket> hangUps = openThoseToClose();
    standStill();
    TextStreams.write(closingPeer.getOutputStream(), "x");
    for (Socket hangUp : hangUps) {
      hangUp.close();
    }
    go.countDown();
    ChannelFuture connected = dialed.get(10, TimeUnit.SECONDS);
    connected.sync();
    gateway.loop.submit(() -> {}).sync();
    assertTrue(connected.channel().isActive());
    connected.channel().close();
    closing.close();
  }

  private List<Socket> openThoseToClose() throws InterruptedException {
    List<Socket> peersOfThose = new ArrayList<>();
    for (int i = 0; i < CLOSED; i++) {
      closed.add(dial(new ChannelInboundHandlerAdapter()));
      peersOfThose.add(TestQueues.next(accepted));
    }
    return peersOfThose;
  }

  /** So that the next descriptor gets the number of one that is closed. */
  private void takeLowerNumbers() {
    int highest = closed.stream().mapToInt(c -> c.fd().intValue()).max().orElseThrow();
    do {
      spare.add(new EpollSocketChannel());
    } while (spare.get(spare.size() - 1).fd().intValue() < highest);
  }

  private void standStill() throws InterruptedException {
    CountDownLatch standing = new CountDownLatch(1);
    gateway.loop.execute(
        () -> {
          standing.countDown();
          TestLatches.await(go);
        });
    standing.await();
  }

  private EpollSocketChannel dial(ChannelInboundHandlerAdapter handler)
      throws InterruptedException {
    return (EpollSocketChannel) begin(handler).sync().channel();
  }

  private ChannelFuture begin(ChannelInboundHandlerAdapter handler) {
    return new Bootstrap()
        .group(gateway.loop)
        .channel(EpollSocketChannel.class)
        .handler(handler)
        .connect(other.address());
  }
}
