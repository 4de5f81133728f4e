package quotagateway.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.Status;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TextStreams;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/** The counter's client against a scripted counter. */
@Timeout(30)
class CounterClientTest {

  private final GatewayFixture fixture = new GatewayFixture();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final BlockingQueue<CounterReplied> ends = new LinkedBlockingQueue<>();
  private CounterClient client;

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    fixture.close();
  }

  /** Calls until one gets through, as the connections come up on their own. */
  private void start(double limitMs) throws Exception {
    client =
        new CounterClient(
            group.next(),
            new MonotonicClock(),
            Dialer.sockets(group.next(), 250),
            new InetSocketAddress("127.0.0.1", fixture.counter.port()),
            limitMs,
            ends::add);
    group.next().submit(client::start).sync();
    do {
      add("up", 0);
    } while (TestQueues.next(ends).status() == Status.CONNECT_FAILED);
    fixture.counter.calls.clear();
  }

  private void add(String name, double amount) {
    group.next().execute(() -> client.increment(name, amount, 4000));
  }

  @Test
  void writesPlainNumbersAndReadsTotals() throws Exception {
    start(5_000);
    add("a", 2);
    assertEquals("incr a 2 4000", TestQueues.next(fixture.counter.calls));
    assertEquals(new CounterReplied("a", Status.OK, 2, 0).total(), TestQueues.next(ends).total());
    add("a", -0.0000125);
    assertEquals("incr a -0.000013 4000", TestQueues.next(fixture.counter.calls));
    TestQueues.next(ends);
    fixture.counter.replies = line -> "busy";
    add("a", 1);
    assertEquals(Status.REJECTED, TestQueues.next(ends).status());
  }

  /** A call that its part holds up delays no call for another name. */
  @Test
  void oneSlowNameDoesNotHoldUpOthers() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    fixture.counter.replies =
        line -> {
          if (line.contains("slow")) {
            await(go);
          }
          return fixture.counter.count(line);
        };
    start(5_000);
    add("slow", 1);
    add("fast", 1);
    assertEquals("fast", TestQueues.next(ends).counterName());
    go.countDown();
    assertEquals("slow", TestQueues.next(ends).counterName());
  }

  /** The late answer to a call that was given up is not taken for that of the call behind it. */
  @Test
  void aCallGivenUpKeepsItsPlace() throws Exception {
    start(1_500);
    CountDownLatch go = new CountDownLatch(1);
    fixture.counter.replies =
        line -> {
          if (line.contains(" 5 ")) {
            await(go);
          }
          return fixture.counter.count(line);
        };
    for (int i = 0; i < 12; i++) {
      add("n" + i, 5);
    }
    for (int i = 0; i < 12; i++) {
      assertEquals(Status.TIMED_OUT, TestQueues.next(ends).status());
    }
    add("x", 1);
    go.countDown();
    CounterReplied next = TestQueues.next(ends);
    assertEquals(Status.OK, next.status());
    assertEquals(1, next.total());
  }

  @Test
  void junkEndsTheConnectionAndMayHaveBeenAdded() throws Exception {
    start(5_000);
    fixture.counter.replies = line -> "what?";
    add("a", 1);
    assertEquals(Status.MALFORMED_RESPONSE, TestQueues.next(ends).status());
    fixture.counter.replies = fixture.counter::count;
    add("b", 1);
    assertEquals(Status.OK, TestQueues.next(ends).status());
  }

  /**
   * A silent connection is replaced: calls get through again though no old one was ever answered.
   */
  @Test
  void silentConnectionsAreReplaced() throws Exception {
    start(50);
    fixture.counter.replies = line -> null;
    for (int i = 0; i < 24; i++) {
      add("n" + i, 1);
      assertNotEquals(Status.OK, TestQueues.next(ends).status());
    }
    fixture.counter.replies = fixture.counter::count;
    do {
      add("back", 0);
    } while (TestQueues.next(ends).status() != Status.OK);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A new configuration's counter is used once it is up; what the old one owes is still heard. */
  @Test
  void whatTheOldAddressOwesIsHeardAfterAMove() throws Exception {
    start(5_000);
    CountDownLatch moved = new CountDownLatch(1);
    fixture.counter.replies =
        line -> {
          try {
            moved.await(10, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            return null;
          }
          return "ok 77";
        };
    add("a", 2);
    TestQueues.next(fixture.counter.calls);
    try (GatewayFixture other = new GatewayFixture()) {
      group
          .next()
          .submit(
              () -> client.changeAddress(new InetSocketAddress("127.0.0.1", other.counter.port())))
          .sync();
      moved.countDown();
      assertEquals(77, TestQueues.next(ends).total());
      do {
        add("b", 1);
        assertEquals(Status.OK, TestQueues.next(ends).status());
      } while (other.counter.calls.isEmpty());
    }
  }

  /** Noise, with or without a line's end, spoils one answer; calls go on over other connections. */
  @Test
  void noiseSpoilsOneAnswerAlone() throws Exception {
    start(5_000);
    int port =
        fixture
            .listen(
                50,
                (in, out, socket) -> {
                  in.read();
                  TextStreams.write(out, "no line's end");
                })
            .port();
    group
        .next()
        .submit(() -> client.changeAddress(new InetSocketAddress("127.0.0.1", port)))
        .sync();
    Status status;
    do {
      add("a", 1);
      status = TestQueues.next(ends).status();
    } while (status == Status.OK);
    assertEquals(Status.MALFORMED_RESPONSE, status);
    fixture.counter.replies = line -> "total?";
    group
        .next()
        .submit(
            () -> client.changeAddress(new InetSocketAddress("127.0.0.1", fixture.counter.port())))
        .sync();
    fixture.counter.calls.clear();
    while (fixture.counter.calls.isEmpty()) {
      add("b", 1);
      status = TestQueues.next(ends).status();
    }
    assertEquals(Status.MALFORMED_RESPONSE, status);
    fixture.counter.replies = fixture.counter::count;
    do {
      add("c", 1);
    } while (TestQueues.next(ends).status() != Status.OK);
  }
}
