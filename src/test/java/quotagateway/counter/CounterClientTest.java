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

/** Tests the counter client over sockets, against a fake counter. */
@Timeout(30)
class CounterClientTest {

  private final FakeCounter counter = new FakeCounter();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final BlockingQueue<CounterReplied> results = new LinkedBlockingQueue<>();
  private CounterClient client;

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    counter.close();
  }

  /**
   * Starts the client and repeats a call until one succeeds, since the connections are established
   * asynchronously.
   */
  private void start(double callTimeoutMs) throws Exception {
    client =
        new CounterClient(
            group.next(),
            new MonotonicClock(),
            Dialer.sockets(group.next(), 250),
            counter.address(),
            callTimeoutMs,
            results::add);
    group.next().submit(client::start).sync();
    do {
      add("up", 0);
    } while (TestQueues.next(results).status() == Status.CONNECT_FAILED);
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
    assertEquals(
        new CounterReplied("a", Status.OK, 2, 0).total(), TestQueues.next(results).total());
    add("a", -0.0000125);
    assertEquals("incr a -0.000013 4000", TestQueues.next(counter.calls));
    TestQueues.next(results);
    counter.responder = line -> "busy";
    add("a", 1);
    assertEquals(Status.REJECTED, TestQueues.next(results).status());
  }

  /**
   * While a part of the counter is slow, calls for other names use connections without pending
   * replies.
   */
  @Test
  void slowReplyDoesNotDelayCallForAnotherCounterName() throws Exception {
    CountDownLatch replyAllowed = new CountDownLatch(1);
    counter.responder =
        line -> {
          if (line.contains("slow")) {
            TestLatches.await(replyAllowed);
          }
          return counter.count(line);
        };
    start(5_000);
    add("slow", 1);
    add("fast", 1);
    assertEquals("fast", TestQueues.next(results).counterName());
    replyAllowed.countDown();
    assertEquals("slow", TestQueues.next(results).counterName());
  }

  /**
   * Replies arrive in the order of the calls, so the reply to a call that timed out still precedes
   * the replies to later calls.
   */
  @Test
  void lateReplyToTimedOutCallIsNotMatchedToAnotherCall() throws Exception {
    start(1_500);
    CountDownLatch replyAllowed = new CountDownLatch(1);
    counter.responder =
        line -> {
          if (line.contains(" 5 ")) {
            TestLatches.await(replyAllowed);
          }
          return counter.count(line);
        };
    for (int i = 0; i < 12; i++) {
      add("n" + i, 5);
    }
    for (int i = 0; i < 12; i++) {
      assertEquals(Status.TIMED_OUT, TestQueues.next(results).status());
    }
    add("x", 1);
    replyAllowed.countDown();
    CounterReplied next = TestQueues.next(results);
    assertEquals(Status.OK, next.status());
    assertEquals(1, next.total());
  }

  @Test
  void malformedReplyFailsItsCallAndClosesTheConnection() throws Exception {
    start(5_000);
    counter.responder = line -> "what?";
    add("a", 1);
    assertEquals(Status.MALFORMED_RESPONSE, TestQueues.next(results).status());
    counter.responder = counter::count;
    add("b", 1);
    assertEquals(Status.OK, TestQueues.next(results).status());
  }

  /**
   * The counter's machine vanishes without resetting its connections. The client replaces them
   * because they are silent, and calls succeed again although the old connections never received a
   * reply.
   */
  @Test
  void replacesSilentConnections() throws Exception {
    start(50);
    counter.responder = line -> null;
    for (int i = 0; i < 24; i++) {
      add("n" + i, 1);
      assertNotEquals(Status.OK, TestQueues.next(results).status());
    }
    counter.responder = counter::count;
    do {
      add("recovered", 0);
    } while (TestQueues.next(results).status() != Status.OK);
  }

  /**
   * The counter's address changes. The client uses the new address once a connection to it is
   * established, and still reports the pending replies of the old address.
   */
  @Test
  void reportsPendingRepliesOfOldAddressAfterAddressChange() throws Exception {
    start(5_000);
    CountDownLatch addressChanged = new CountDownLatch(1);
    counter.responder =
        line -> {
          TestLatches.await(addressChanged);
          return "ok 77";
        };
    add("a", 2);
    TestQueues.next(counter.calls);
    try (FakeCounter newCounter = new FakeCounter()) {
      changeAddress(newCounter.address());
      addressChanged.countDown();
      assertEquals(77, TestQueues.next(results).total());
      do {
        add("b", 1);
        assertEquals(Status.OK, TestQueues.next(results).status());
      } while (newCounter.calls.isEmpty());
    }
  }

  /**
   * Invalid bytes, with or without a line end, count as a malformed reply. Later calls use other
   * connections.
   */
  @Test
  void invalidBytesFailOneCallPerConnection() throws Exception {
    start(5_000);
    try (ScriptedServer malformedReplyServer =
        new ScriptedServer(50, CounterClientTest::replyWithoutLineEnd)) {
      changeAddress(malformedReplyServer.address());
      assertEquals(Status.MALFORMED_RESPONSE, callUntilFailure());
      counter.responder = line -> "total?";
      changeAddress(counter.address());
      counter.calls.clear();
      Status status = Status.OK;
      while (counter.calls.isEmpty()) {
        add("b", 1);
        status = TestQueues.next(results).status();
      }
      assertEquals(Status.MALFORMED_RESPONSE, status);
      counter.responder = counter::count;
      do {
        add("c", 1);
      } while (TestQueues.next(results).status() != Status.OK);
    }
  }

  private static void replyWithoutLineEnd(InputStream in, OutputStream out, Socket socket)
      throws IOException {
    in.read();
    TextStreams.write(out, "no line end");
  }

  private Status callUntilFailure() throws InterruptedException {
    Status status;
    do {
      add("a", 1);
      status = TestQueues.next(results).status();
    } while (status == Status.OK);
    return status;
  }
}
