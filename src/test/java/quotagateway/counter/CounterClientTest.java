package quotagateway.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.Status;
import quotagateway.testing.FakeCounter;
import quotagateway.testing.ScriptedServer;
import quotagateway.testing.TestLatches;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TextStreams;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/** The client of the counter over sockets, against a stand-in for the counter. */
@Timeout(30)
class CounterClientTest {

  private final FakeCounter counter = new FakeCounter();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final BlockingQueue<CounterReplied> ends = new LinkedBlockingQueue<>();
  private CounterClient client;

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    counter.close();
  }

  /** Calls until one gets through, as the connections come up on their own. */
  private void start(double limitMs) throws Exception {
    client =
        new CounterClient(
            group.next(),
            new MonotonicClock(),
            Dialer.sockets(group.next(), 250),
            counter.address(),
            limitMs,
            ends::add);
    group.next().submit(client::start).sync();
    do {
      add("up", 0);
    } while (TestQueues.next(ends).status() == Status.CONNECT_FAILED);
    counter.calls.clear();
  }

  private void changeAddress(InetSocketAddress address) throws InterruptedException {
    group.next().submit(() -> client.changeAddress(address)).sync();
  }

  private void add(String name, double amount) {
    group.next().execute(() -> client.increment(name, amount, 4000));
  }

  @Test
  void reportsTotalsAndRejections() throws Exception {
    start(5_000);
    add("a", 2);
    assertEquals("incr a 2 4000", TestQueues.next(counter.calls));
    assertEquals(new CounterReplied("a", Status.OK, 2, 0).total(), TestQueues.next(ends).total());
    add("a", -0.0000125);
    assertEquals("incr a -0.000013 4000", TestQueues.next(counter.calls));
    TestQueues.next(ends);
    counter.replies = line -> "busy";
    add("a", 1);
    assertEquals(Status.REJECTED, TestQueues.next(ends).status());
  }

  /** A part of the counter is slow. Calls for other names go over connections that owe nothing. */
  @Test
  void aSlowReplyDoesNotDelayACallForAnotherName() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    counter.replies =
        line -> {
          if (line.contains("slow")) {
            TestLatches.await(go);
          }
          return counter.count(line);
        };
    start(5_000);
    add("slow", 1);
    add("fast", 1);
    assertEquals("fast", TestQueues.next(ends).counterName());
    go.countDown();
    assertEquals("slow", TestQueues.next(ends).counterName());
  }

  /** Replies come in the order of the calls: one that timed out is still to be replied to first. */
  @Test
  void theLateReplyToACallThatTimedOutIsNotTakenForThatOfAnother() throws Exception {
    start(1_500);
    CountDownLatch go = new CountDownLatch(1);
    counter.replies =
        line -> {
          if (line.contains(" 5 ")) {
            TestLatches.await(go);
          }
          return counter.count(line);
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
  void aMalformedReplyEndsItsCallAndTheConnection() throws Exception {
    start(5_000);
    counter.replies = line -> "what?";
    add("a", 1);
    assertEquals(Status.MALFORMED_RESPONSE, TestQueues.next(ends).status());
    counter.replies = counter::count;
    add("b", 1);
    assertEquals(Status.OK, TestQueues.next(ends).status());
  }

  /**
   * The counter's machine vanishes, and resets nothing. Its connections are replaced for their
   * silence: calls succeed again though none of the old ones was ever replied to.
   */
  @Test
  void replacesSilentConnections() throws Exception {
    start(50);
    counter.replies = line -> null;
    for (int i = 0; i < 24; i++) {
      add("n" + i, 1);
      assertNotEquals(Status.OK, TestQueues.next(ends).status());
    }
    counter.replies = counter::count;
    do {
      add("back", 0);
    } while (TestQueues.next(ends).status() != Status.OK);
  }

  /**
   * The counter moves. The new one is used once it is up; replies that the old one owes still
   * count.
   */
  @Test
  void reportsRepliesOfTheOldAddressAfterAChangeOfAddress() throws Exception {
    start(5_000);
    CountDownLatch moved = new CountDownLatch(1);
    counter.replies =
        line -> {
          TestLatches.await(moved);
          return "ok 77";
        };
    add("a", 2);
    TestQueues.next(counter.calls);
    try (FakeCounter other = new FakeCounter()) {
      changeAddress(other.address());
      moved.countDown();
      assertEquals(77, TestQueues.next(ends).total());
      do {
        add("b", 1);
        assertEquals(Status.OK, TestQueues.next(ends).status());
      } while (other.calls.isEmpty());
    }
  }

  /**
   * Noise, with or without a line end, makes a reply malformed; calls go on over other connections.
   */
  @Test
  void noiseCostsOneReplyPerConnection() throws Exception {
    start(5_000);
    try (ScriptedServer noisy = new ScriptedServer(50, CounterClientTest::replyWithoutLineEnd)) {
      changeAddress(noisy.address());
      assertEquals(Status.MALFORMED_RESPONSE, firstStatusThatIsNotOk());
      counter.replies = line -> "total?";
      changeAddress(counter.address());
      counter.calls.clear();
      Status status = Status.OK;
      while (counter.calls.isEmpty()) {
        add("b", 1);
        status = TestQueues.next(ends).status();
      }
      assertEquals(Status.MALFORMED_RESPONSE, status);
      counter.replies = counter::count;
      do {
        add("c", 1);
      } while (TestQueues.next(ends).status() != Status.OK);
    }
  }

  private static void replyWithoutLineEnd(InputStream in, OutputStream out, Socket socket)
      throws IOException {
    in.read();
    TextStreams.write(out, "no line's end");
  }

  private Status firstStatusThatIsNotOk() throws InterruptedException {
    Status status;
    do {
      add("a", 1);
      status = TestQueues.next(ends).status();
    } while (status == Status.OK);
    return status;
  }
}
