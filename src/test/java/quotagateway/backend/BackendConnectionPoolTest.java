package quotagateway.backend;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.event.Status;
import quotagateway.testing.TestQueues;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.SocketTransport;

/**
 * How attempts end that got no connection, or lost it, and on which connections others are written.
 */
@Timeout(30)
class BackendConnectionPoolTest {

  private static final int FEW_BYTES = 4 * 1024;
  private static final double FOREVER = Double.POSITIVE_INFINITY;

  /** A new connection's segments are acknowledged at once for a while. */
  private static final int EXCHANGES_BEFORE_DELAYED_ACKNOWLEDGEMENTS = 50;

  private static final String EMPTY_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final EventLoop loop = group.next();
  private final BlockingQueue<Status> ends = new LinkedBlockingQueue<>();

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
  }

  private BackendConnectionPool pool(int places, int port) {
    return pool(new MonotonicClock(), places, port);
  }

  private BackendConnectionPool pool(MonotonicClock clock, int places, int port) {
    BackendConnectionPool pool =
        new BackendConnectionPool(
            loop,
            clock,
            Dialer.sockets(loop, 5_000),
            10_000,
            new ConnectionBudget(places),
            new SingleEndpoint(port));
    pool.onEndpointsUpdated(snapshot());
    return pool;
  }

  private static EndpointUpdate snapshot() {
    return update(EndpointState.SERVING);
  }

  /** A list of the one backend in that state. */
  private static EndpointUpdate update(EndpointState state) {
    return new EndpointUpdate(1, true, List.of(new Endpoint(1, "a", 0, state, 1, 0)));
  }

  private Attempt attempt(double timeoutMs) {
    return attempt(HttpMethod.GET, timeoutMs);
  }

  private Attempt attempt(HttpMethod method, double timeoutMs) {
    return attempt(
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/quote/1"),
        RequestBody.of(Unpooled.EMPTY_BUFFER),
        timeoutMs);
  }

  private Attempt attempt(DefaultHttpRequest head, RequestBody body, double timeoutMs) {
    return new Attempt(head, body, timeoutMs) {
      @Override
      public void onEnd(Status status, FullHttpResponse response) {
        ends.add(status);
      }
    };
  }

  /**
   * A backend, or something before it, takes a connection and resets it at once. That shows that
   * something lives there; reported as a refused connection it would be taken for a restart. The
   * loop stands still until the backend has done so.
   */
  @Test
  void resetWhileConnectingIsNoConnectFailure() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      loop.submit(
              () -> {
                pool(100, server.getLocalPort()).start(1, attempt(5_000), FOREVER);
                // Behind the connecting, which is the loop's next task.
                return loop.submit(
                    () -> {
                      Socket taken = server.accept();
                      taken.setSoLinger(true, 0);
                      taken.close();
                      return null;
                    });
              })
          .sync();
      assertEquals(Status.WRITE_INCOMPLETE, TestQueues.next(ends));
    }
  }

  @Test
  void refusedConnectionEndsAsConnectFailed() throws Exception {
    int port = freePort();
    loop.submit(() -> pool(100, port).start(1, attempt(5_000), FOREVER)).sync();
    assertEquals(Status.CONNECT_FAILED, TestQueues.next(ends));
  }

  /**
   * A pool on the test's clock, one backend, and connections that come up when the test says so.
   */
  private final AtomicLong nanos = new AtomicLong();

  private final EmbeddedChannel dialled = new EmbeddedChannel();
  private final ChannelPromise connected = dialled.newPromise();

  private BackendConnectionPool slowPool() {
    BackendConnectionPool pool =
        new BackendConnectionPool(
            new EmbeddedChannel().eventLoop(),
            new MonotonicClock(nanos::get),
            (address, handler) -> {
              dialled.pipeline().addLast(handler);
              return connected;
            },
            10_000,
            new ConnectionBudget(100),
            new SingleEndpoint(1));
    pool.onEndpointsUpdated(snapshot());
    return pool;
  }

  private void connectAfter(long micros) {
    nanos.addAndGet(TimeUnit.MICROSECONDS.toNanos(micros));
    connected.setSuccess();
  }

  /**
   * A connection is long in coming up. That time is gone from the client's, so the backend is given
   * less.
   */
  @Test
  void writtenRequestStatesTheTimeLeftAfterConnecting() {
    slowPool().start(1, attempt(1_000), FOREVER);
    connectAfter(240_500);
    ByteBuf written = dialled.readOutbound();
    String head = written.toString(US_ASCII);
    assertTrue(head.contains("Request-Timeout-Ms: 760\r\n"), head);
    written.release();
  }

  /**
   * A retry waits for its connection until the deduplication window may be over: written then, it
   * would be executed a second time.
   */
  @Test
  void attemptIsNotWrittenWhenItsConnectionComesTooLate() {
    slowPool().start(1, attempt(1_000), 200);
    connectAfter(240_500);
    assertNull(dialled.readOutbound());
    assertEquals(Status.NOT_SENT, ends.poll());
    assertFalse(dialled.isOpen());
  }

  /**
   * The same over a real connection: the clock moves on between the connecting and the loop's next
   * look.
   */
  @Test
  void connectionUpAfterTheWriteLimitIsClosedUnused() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      loop.submit(
              () -> {
                BackendConnectionPool pool =
                    new BackendConnectionPool(
                        loop,
                        new MonotonicClock(nanos::get),
                        Dialer.sockets(loop, 5_000),
                        10_000,
                        new ConnectionBudget(100),
                        new SingleEndpoint(server.getLocalPort()));
                pool.onEndpointsUpdated(snapshot());
                pool.start(1, attempt(60_000), 20_000);
                nanos.addAndGet(TimeUnit.SECONDS.toNanos(21));
              })
          .sync();
      try (Socket taken = server.accept()) {
        taken.setSoTimeout(10_000);
        assertEquals(-1, taken.getInputStream().read());
      }
      assertEquals(Status.NOT_SENT, TestQueues.next(ends));
    }
  }

  /**
   * A backend reads slowly, so that the last byte of a retry would reach it behind the
   * deduplication window. The attempt is given up before.
   */
  @Test
  void attemptNotWrittenWholeInTimeIsAbandoned() throws Exception {
    int size = 60_000;
    try (ServerSocket server = new ServerSocket()) {
      server.setReceiveBufferSize(FEW_BYTES);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      server.setSoTimeout(10_000);
      Bootstrap bootstrap =
          new Bootstrap()
              .group(loop)
              .channel(SocketTransport.PREFERRED.socket())
              .option(ChannelOption.SO_SNDBUF, FEW_BYTES);
      Dialer fewBytes = (address, handler) -> bootstrap.clone().handler(handler).connect(address);
      loop.submit(
              () -> {
                BackendConnectionPool pool =
                    new BackendConnectionPool(
                        loop,
                        new MonotonicClock(),
                        fewBytes,
                        10_000,
                        new ConnectionBudget(100),
                        new SingleEndpoint(server.getLocalPort()));
                pool.onEndpointsUpdated(snapshot());
                DefaultHttpRequest head =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/buy/1");
                head.headers().set("Content-Length", size);
                pool.start(
                    1,
                    attempt(head, RequestBody.of(Unpooled.wrappedBuffer(new byte[size])), 20_000),
                    200);
              })
          .sync();
      try (Socket taken = server.accept()) {
        assertEquals(Status.WRITE_INCOMPLETE, TestQueues.next(ends));
        taken.setSoTimeout(10_000);
        int came = taken.getInputStream().readAllBytes().length;
        assertTrue(came < size, came + " bytes of " + size + " came");
      }
    }
  }

  /**
   * The policy may start the next attempt as soon as one has ended. No copy may be out on an open
   * connection by then.
   */
  @Test
  void abandonedAttemptEndsAfterItsConnectionIsClosed() {
    List<Boolean> openAtEnd = new ArrayList<>();
    Attempt attempt =
        new Attempt(
            new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/1"),
            RequestBody.of(Unpooled.EMPTY_BUFFER),
            1_000) {
          @Override
          public void onEnd(Status status, FullHttpResponse response) {
            openAtEnd.add(dialled.isOpen());
            ends.add(status);
          }
        };
    slowPool().start(1, attempt, FOREVER);
    connectAfter(1_000);
    dialled.releaseOutbound();
    attempt.abandon(attempt.statusIfCancelled());
    assertEquals(List.of(false), openAtEnd);
    assertEquals(List.of(Status.CANCELLED), List.copyOf(ends));
  }

  /** The policy cancels an attempt while its connection comes up: nobody waits for a response. */
  @Test
  void attemptCancelledWhileConnectingIsNotWritten() {
    Attempt attempt = attempt(1_000);
    slowPool().start(1, attempt, FOREVER);
    attempt.abandon(attempt.statusIfCancelled());
    connectAfter(1_000);
    assertNull(dialled.readOutbound());
    assertEquals(List.of(Status.NOT_SENT), List.copyOf(ends));
    assertFalse(dialled.isOpen());
  }

  /**
   * A backend begins to drain while a connection to it comes up. A request that is written then
   * breaks the drain; the attempt ends as not sent, so that the policy can choose another backend.
   */
  @Test
  void attemptWaitingForABackendThatDrainsIsNotWritten() {
    BackendConnectionPool pool = slowPool();
    pool.start(1, attempt(1_000), FOREVER);
    pool.onEndpointsUpdated(update(EndpointState.DRAINING));
    assertEquals(List.of(Status.NOT_SENT), List.copyOf(ends));
    connectAfter(1_000);
    assertNull(dialled.readOutbound());
    assertFalse(dialled.isOpen());
  }

  /**
   * A backend drains while a request is out on a connection to it. The response is taken, and the
   * connection is closed behind it: kept, it would lead to whoever lives at that address next.
   */
  @Test
  void connectionToADrainedBackendIsClosedBehindItsResponse() {
    BackendConnectionPool pool = slowPool();
    pool.start(1, attempt(1_000), FOREVER);
    connectAfter(1_000);
    dialled.releaseOutbound();
    pool.onEndpointsUpdated(update(EndpointState.DRAINING));
    assertTrue(dialled.isOpen());
    dialled.writeInbound(
        Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", US_ASCII));
    assertEquals(List.of(Status.OK), List.copyOf(ends));
    assertFalse(dialled.isOpen());
  }

  @Test
  void attemptIsWrittenWhenItsConnectionComesInTime() {
    slowPool().start(1, attempt(1_000), 200);
    connectAfter(190_500);
    ByteBuf written = dialled.readOutbound();
    assertNotNull(written);
    written.release();
    assertTrue(ends.isEmpty());
  }

  /**
   * There is no place for a connection here, the backend has just left the list, or no time is left
   * to connect. None of these is the backend's fault, and none may count against it.
   */
  @Test
  void attemptThatCannotBeSentEndsAsNotSent() throws Exception {
    int port = freePort();
    loop.submit(() -> pool(0, port).start(1, attempt(5_000), FOREVER)).sync();
    assertEquals(Status.NOT_SENT, TestQueues.next(ends));
    loop.submit(() -> pool(100, port).start(2, attempt(5_000), FOREVER)).sync();
    assertEquals(Status.NOT_SENT, TestQueues.next(ends));
    loop.submit(
            () -> {
              Attempt late = attempt(5_000);
              late.abandon(late.statusIfTimedOut());
            })
        .sync();
    assertEquals(Status.NOT_SENT, TestQueues.next(ends));
  }

  /**
   * Descriptors have run out: there is no channel that could return its place in the budget when it
   * closes. Kept, such places would add up until no connection is allowed.
   */
  @Test
  void failedSocketReturnsItsPlaceToTheBudget() {
    List<InetSocketAddress> dialledAddresses = new ArrayList<>();
    BackendConnectionPool pool =
        new BackendConnectionPool(
            new EmbeddedChannel().eventLoop(),
            new MonotonicClock(),
            (address, handler) -> {
              dialledAddresses.add(address);
              return dialled.newFailedFuture(new ChannelException("too many open files"));
            },
            10_000,
            new ConnectionBudget(1),
            new SingleEndpoint(1));
    pool.onEndpointsUpdated(snapshot());
    pool.start(1, attempt(5_000), FOREVER);
    pool.start(1, attempt(5_000), FOREVER);
    assertEquals(List.of(Status.NOT_SENT, Status.NOT_SENT), List.copyOf(ends));
    assertEquals(2, dialledAddresses.size());
  }

  /**
   * Something on the way forgets idle connections. A dead one costs a request that can be retried
   * nothing, and one that must not be executed twice its response; such a one gets a new
   * connection.
   */
  @Test
  void nonIdempotentAttemptAvoidsIdleConnectionsWhereTheyDie() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      BackendConnectionPool pool =
          loop.submit(() -> pool(100, server.getLocalPort())).sync().getNow();
      loop.submit(() -> pool.start(1, attempt(5_000), FOREVER));
      Socket first = server.accept();
      answer(first);
      long quiet = System.nanoTime();
      TimeUnit.MILLISECONDS.sleep(50);
      loop.submit(() -> pool.start(1, attempt(5_000), FOREVER));
      read(first);
      first.setSoLinger(true, 0);
      first.close();
      assertEquals(Status.MALFORMED_RESPONSE, TestQueues.next(ends));
      quiet = System.nanoTime() - quiet;
      loop.submit(() -> pool.start(1, attempt(5_000), FOREVER));
      Socket second = server.accept();
      answer(second);
      TimeUnit.NANOSECONDS.sleep(quiet);
      loop.submit(() -> pool.start(1, attempt(HttpMethod.POST, 5_000), FOREVER));
      answer(server.accept());
    }
  }

  /**
   * A second copy of a response arrives while the event loop is busy, and the next request is
   * started before the loop has read it. Written on that connection, the request would get the copy
   * for its response, and its client another client's.
   */
  @Test
  void connectionWithAnUnreadSecondResponseIsNotUsedAgain() throws Exception {
    nextAttemptGetsANewConnectionAfter(
        first -> {
          OutputStream out = first.getOutputStream();
          out.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale".getBytes(US_ASCII));
        });
  }

  /**
   * The backend's kernel holds a second copy back until the first is acknowledged (Nagle's
   * algorithm), which on a connection that has been in use for a while happens with the next
   * request: the copy then came right behind that request.
   */
  @Test
  void secondResponseThatIsHeldBackUntilAnAcknowledgementIsNotTheNextOne() throws Exception {
    assumeTrue(Epoll.isAvailable(), "only there a response can be acknowledged at once");
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      BackendConnectionPool pool = poolOnTestClock(server);
      startAttempt(pool);
      Socket first = server.accept();
      answer(first);
      for (int i = 0; i < EXCHANGES_BEFORE_DELAYED_ACKNOWLEDGEMENTS; i++) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
        startAttempt(pool);
        answer(first);
      }
      nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
      startAttempt(pool);
      answer(first);
      first.getOutputStream().write(EMPTY_RESPONSE.getBytes(US_ASCII));
      nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
      startAttempt(pool);
      answer(server.accept());
    }
  }

  /** The same where the backend has closed the connection: a request on it would be lost. */
  @Test
  void connectionWithAnUnreadCloseIsNotUsedAgain() throws Exception {
    nextAttemptGetsANewConnectionAfter(Socket::close);
  }

  /** The same where the connection was reset, which leaves nothing to be read but an error. */
  @Test
  void connectionWithAnUnreadResetIsNotUsedAgain() throws Exception {
    nextAttemptGetsANewConnectionAfter(
        first -> {
          first.setSoLinger(true, 0);
          first.close();
        });
  }

  /**
   * A second copy of a response can come so late that the next request is out on the connection
   * already, and is then taken for its response. A backend that has sent one gets each request on a
   * connection of its own for a while.
   */
  @Test
  void connectionsAreNotUsedAgainForAWhileAfterASecondResponse() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      BackendConnectionPool pool = poolOnTestClock(server);
      startAttempt(pool);
      Socket sendsTwice = server.accept();
      read(sendsTwice);
      sendsTwice.getOutputStream().write((EMPTY_RESPONSE + EMPTY_RESPONSE).getBytes(US_ASCII));
      assertEquals(Status.OK, TestQueues.next(ends));
      for (int elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 2_500) {
        startAttempt(pool);
        answer(server.accept());
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(2_500));
      }
      startAttempt(pool);
      Socket kept = server.accept();
      answer(kept);
      nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
      startAttempt(pool);
      answer(kept);
    }
  }

  /**
   * A backend was taken for restarted, as a connection was refused, and answers all the same. A
   * list that says the same as before is no reason to drop the connections made since.
   */
  @Test
  void connectionsOutliveAListThatDoesNotConfirmASuspectedRestart() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      long address = new SingleEndpoint(server.getLocalPort()).listedAddress();
      EndpointIndex index = indexOfRestartSuspect(address);
      BackendConnectionPool pool =
          loop.submit(
                  () ->
                      new BackendConnectionPool(
                          loop,
                          new MonotonicClock(nanos::get),
                          Dialer.sockets(loop, 5_000),
                          10_000,
                          new ConnectionBudget(100),
                          index))
              .sync()
              .getNow();
      startAttempt(pool);
      Socket first = server.accept();
      answer(first);
      Endpoint listed = new Endpoint(1, "a", 0, EndpointState.SERVING, 1, 0, address);
      loop.submit(
              () -> {
                pool.onEndpointsUpdated(new EndpointUpdate(1, true, List.of(listed)));
                nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
                pool.start(1, attempt(5_000), FOREVER);
              })
          .sync();
      answer(first);
    }
  }

  /** Lists one backend as started long ago; it is assumed to have started just now. */
  private static EndpointIndex indexOfRestartSuspect(long address) {
    double warmUpMs = 9_000;
    double nowMs = 50_000;
    EndpointIndex index = new EndpointIndex(0);
    int group = index.group("a", 0);
    int slot = index.add(1, group);
    index.setAddress(slot, address);
    index.update(slot, group, EndpointState.SERVING, 1, 0, warmUpMs, nowMs);
    index.assumeStarted(slot, nowMs, warmUpMs, nowMs);
    return index;
  }

  private BackendConnectionPool poolOnTestClock(ServerSocket server) throws InterruptedException {
    return loop.submit(() -> pool(new MonotonicClock(nanos::get), 100, server.getLocalPort()))
        .sync()
        .getNow();
  }

  private void startAttempt(BackendConnectionPool pool) {
    loop.submit(() -> pool.start(1, attempt(5_000), FOREVER));
  }

  /** What a backend does on a connection between two attempts. */
  private interface BackendAction {
    void run(Socket connection) throws IOException;
  }

  private void nextAttemptGetsANewConnectionAfter(BackendAction action) throws Exception {
    assumeTrue(Epoll.isAvailable(), "only there the kernel tells what has not been read");
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      BackendConnectionPool pool = poolOnTestClock(server);
      startAttempt(pool);
      Socket first = server.accept();
      answer(first);
      loop.submit(
              () -> {
                action.run(first);
                nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
                pool.start(1, attempt(5_000), FOREVER);
                return null;
              })
          .sync();
      answer(server.accept());
      assertTrue(ends.isEmpty(), "further ends of attempts");
    }
  }

  private void answer(Socket backend) throws Exception {
    read(backend);
    backend.getOutputStream().write(EMPTY_RESPONSE.getBytes(US_ASCII));
    assertEquals(Status.OK, TestQueues.next(ends));
  }

  private static void read(Socket backend) throws IOException {
    backend.setSoTimeout(10_000);
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = backend.getInputStream().read();
      assertTrue(next >= 0, "the connection is in use");
      head.append((char) next);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return server.getLocalPort();
    }
  }
}
