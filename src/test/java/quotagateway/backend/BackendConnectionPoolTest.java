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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.event.Status;
import quotagateway.testing.TestQueues;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;
import quotagateway.transport.SocketTransport;

/**
 * Tests the final status of attempts whose connection fails or cannot be used, and the reuse of
 * idle connections.
 */
@Timeout(30)
class BackendConnectionPoolTest {

  private static final int SMALL_BUFFER_BYTES = 4 * 1024;
  private static final double NO_WRITE_LIMIT = Double.POSITIVE_INFINITY;

  /** The kernel acknowledges the first segments of a new connection without delay. */
  private static final int EXCHANGES_BEFORE_DELAYED_ACKNOWLEDGMENTS = 50;

  private static final String EMPTY_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final EventLoop loop = group.next();
  private final BlockingQueue<Status> statuses = new LinkedBlockingQueue<>();

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
  }

  private BackendConnectionPool pool(int maxConnections, int port) {
    return pool(new MonotonicClock(), maxConnections, port);
  }

  private BackendConnectionPool pool(MonotonicClock clock, int maxConnections, int port) {
    BackendConnectionPool pool =
        new BackendConnectionPool(
            loop,
            clock,
            Dialer.sockets(loop, 5_000),
            10_000,
            new ConnectionBudget(maxConnections),
            PeerMemory.unlimited(),
            new SingleEndpoint(port));
    pool.onEndpointsUpdated(snapshot());
    return pool;
  }

  private static EndpointUpdate snapshot() {
    return update(EndpointState.SERVING);
  }

  /** Returns a list of one backend in the given state. */
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
        statuses.add(status);
      }
    };
  }

  /**
   * A backend, or a middlebox in front of it, accepts a connection and resets it at once. Reported
   * as a refused connection, the reset of a live backend would be treated as a restart. The event
   * loop is blocked until the reset.
   */
  @Test
  void resetWhileConnectingDoesNotEndAsConnectFailed() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      loop.submit(
              () -> {
                pool(100, server.getLocalPort()).start(1, attempt(5_000), NO_WRITE_LIMIT);
                // Runs after the connect, which is the loop's next task.
                return loop.submit(
                    () -> {
                      Socket accepted = server.accept();
                      accepted.setSoLinger(true, 0);
                      accepted.close();
                      return null;
                    });
              })
          .sync();
      assertEquals(Status.WRITE_INCOMPLETE, TestQueues.next(statuses));
    }
  }

  @Test
  void refusedConnectionEndsAsConnectFailed() throws Exception {
    int port = freePort();
    loop.submit(() -> pool(100, port).start(1, attempt(5_000), NO_WRITE_LIMIT)).sync();
    assertEquals(Status.CONNECT_FAILED, TestQueues.next(statuses));
  }

  /** The time of pools on the test's clock. */
  private final AtomicLong nowNanos = new AtomicLong();

  private final EmbeddedChannel backendChannel = new EmbeddedChannel();
  private final ChannelPromise connectPromise = backendChannel.newPromise();

  /** Returns a pool on the test's clock that connects when {@link #connectPromise} completes. */
  private BackendConnectionPool poolWithManualConnect() {
    BackendConnectionPool pool =
        new BackendConnectionPool(
            new EmbeddedChannel().eventLoop(),
            new MonotonicClock(nowNanos::get),
            (address, handler) -> {
              backendChannel.pipeline().addLast(handler);
              return connectPromise;
            },
            10_000,
            new ConnectionBudget(100),
            PeerMemory.unlimited(),
            new SingleEndpoint(1));
    pool.onEndpointsUpdated(snapshot());
    return pool;
  }

  private void completeConnectAfter(long micros) {
    nowNanos.addAndGet(TimeUnit.MICROSECONDS.toNanos(micros));
    connectPromise.setSuccess();
  }

  /** The time spent on connecting reduces the timeout that is sent to the backend. */
  @Test
  void timeoutHeaderExcludesTheTimeSpentConnecting() {
    poolWithManualConnect().start(1, attempt(1_000), NO_WRITE_LIMIT);
    completeConnectAfter(240_500);
    ByteBuf written = backendChannel.readOutbound();
    String head = written.toString(US_ASCII);
    assertTrue(head.contains("Request-Timeout-Ms: 760\r\n"), head);
    written.release();
  }

  /**
   * A retry waits for its connection until the deduplication window may have ended. If it were
   * written after that, the backend could execute the request a second time.
   */
  @Test
  void attemptIsNotWrittenWhenItsConnectionOpensAfterTheWriteLimit() {
    poolWithManualConnect().start(1, attempt(1_000), 200);
    completeConnectAfter(240_500);
    assertNull(backendChannel.readOutbound());
    assertEquals(Status.NOT_SENT, statuses.poll());
    assertFalse(backendChannel.isOpen());
  }

  /**
   * Tests the write limit on a real socket: the clock advances past the limit after the connect has
   * started and before the event loop processes its completion.
   */
  @Test
  void socketOpenedAfterTheWriteLimitIsClosedUnused() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      loop.submit(
              () -> {
                BackendConnectionPool pool =
                    new BackendConnectionPool(
                        loop,
                        new MonotonicClock(nowNanos::get),
                        Dialer.sockets(loop, 5_000),
                        10_000,
                        new ConnectionBudget(100),
                        PeerMemory.unlimited(),
                        new SingleEndpoint(server.getLocalPort()));
                pool.onEndpointsUpdated(snapshot());
                pool.start(1, attempt(60_000), 20_000);
                nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(21));
              })
          .sync();
      try (Socket accepted = server.accept()) {
        accepted.setSoTimeout(10_000);
        assertEquals(-1, accepted.getInputStream().read());
      }
      assertEquals(Status.NOT_SENT, TestQueues.next(statuses));
    }
  }

  /**
   * A backend reads so slowly that the last byte of a retry would reach it after the end of the
   * deduplication window. The attempt is abandoned before that.
   */
  @Test
  void attemptNotCompletelyWrittenWithinTheWriteLimitIsAbandoned() throws Exception {
    int size = 60_000;
    try (ServerSocket server = new ServerSocket()) {
      server.setReceiveBufferSize(SMALL_BUFFER_BYTES);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      server.setSoTimeout(10_000);
      Bootstrap bootstrap =
          new Bootstrap()
              .group(loop)
              .channel(SocketTransport.PREFERRED.socket())
              .option(ChannelOption.SO_SNDBUF, SMALL_BUFFER_BYTES);
      Dialer smallBuffers =
          (address, handler) -> bootstrap.clone().handler(handler).connect(address);
      loop.submit(
              () -> {
                BackendConnectionPool pool =
                    new BackendConnectionPool(
                        loop,
                        new MonotonicClock(),
                        smallBuffers,
                        10_000,
                        new ConnectionBudget(100),
                        PeerMemory.unlimited(),
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
      try (Socket accepted = server.accept()) {
        assertEquals(Status.WRITE_INCOMPLETE, TestQueues.next(statuses));
        accepted.setSoTimeout(10_000);
        int received = accepted.getInputStream().readAllBytes().length;
        assertTrue(received < size, received + " of " + size + " bytes received");
      }
    }
  }

  /**
   * The policy may start the next attempt as soon as this one ends. By then the request must no
   * longer be in flight on an open connection.
   */
  @Test
  void abandonedAttemptEndsAfterItsConnectionIsClosed() {
    List<Boolean> connectionOpenAtEnd = new ArrayList<>();
    Attempt attempt =
        new Attempt(
            new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/1"),
            RequestBody.of(Unpooled.EMPTY_BUFFER),
            1_000) {
          @Override
          public void onEnd(Status status, FullHttpResponse response) {
            connectionOpenAtEnd.add(backendChannel.isOpen());
            statuses.add(status);
          }
        };
    poolWithManualConnect().start(1, attempt, NO_WRITE_LIMIT);
    completeConnectAfter(1_000);
    backendChannel.releaseOutbound();
    attempt.abandon(attempt.statusIfCancelled());
    assertEquals(List.of(false), connectionOpenAtEnd);
    assertEquals(List.of(Status.CANCELLED), List.copyOf(statuses));
  }

  /** After the cancellation, nobody waits for a response. */
  @Test
  void attemptCancelledWhileConnectingIsNotWritten() {
    Attempt attempt = attempt(1_000);
    poolWithManualConnect().start(1, attempt, NO_WRITE_LIMIT);
    attempt.abandon(attempt.statusIfCancelled());
    completeConnectAfter(1_000);
    assertNull(backendChannel.readOutbound());
    assertEquals(List.of(Status.NOT_SENT), List.copyOf(statuses));
    assertFalse(backendChannel.isOpen());
  }

  /**
   * A backend starts draining while a connection to it is being opened, and must not get the
   * request. The attempt ends as not sent, so that the policy can select another backend.
   */
  @Test
  void attemptIsNotWrittenWhenItsBackendStartsDrainingDuringTheConnect() {
    BackendConnectionPool pool = poolWithManualConnect();
    pool.start(1, attempt(1_000), NO_WRITE_LIMIT);
    pool.onEndpointsUpdated(update(EndpointState.DRAINING));
    assertEquals(List.of(Status.NOT_SENT), List.copyOf(statuses));
    completeConnectAfter(1_000);
    assertNull(backendChannel.readOutbound());
    assertFalse(backendChannel.isOpen());
  }

  /**
   * A backend starts draining while a request is in flight. The response is delivered, and the
   * connection is closed after it: an idle connection could lead to the next server at the same
   * address.
   */
  @Test
  void connectionToADrainingBackendIsClosedAfterTheResponse() {
    BackendConnectionPool pool = poolWithManualConnect();
    pool.start(1, attempt(1_000), NO_WRITE_LIMIT);
    completeConnectAfter(1_000);
    backendChannel.releaseOutbound();
    pool.onEndpointsUpdated(update(EndpointState.DRAINING));
    assertTrue(backendChannel.isOpen());
    backendChannel.writeInbound(
        Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", US_ASCII));
    assertEquals(List.of(Status.OK), List.copyOf(statuses));
    assertFalse(backendChannel.isOpen());
  }

  @Test
  void attemptIsWrittenWhenItsConnectionOpensWithinTheWriteLimit() {
    poolWithManualConnect().start(1, attempt(1_000), 200);
    completeConnectAfter(190_500);
    ByteBuf written = backendChannel.readOutbound();
    assertNotNull(written);
    written.release();
    assertTrue(statuses.isEmpty());
  }

  /**
   * The connection budget is exhausted, the backend is not in the endpoint list, or the timeout
   * expires before there is a connection. None of these may be counted against the backend.
   */
  @Test
  void attemptThatCannotBeSentEndsAsNotSent() throws Exception {
    int port = freePort();
    loop.submit(() -> pool(0, port).start(1, attempt(5_000), NO_WRITE_LIMIT)).sync();
    assertEquals(Status.NOT_SENT, TestQueues.next(statuses));
    loop.submit(() -> pool(100, port).start(2, attempt(5_000), NO_WRITE_LIMIT)).sync();
    assertEquals(Status.NOT_SENT, TestQueues.next(statuses));
    loop.submit(
            () -> {
              Attempt timedOut = attempt(5_000);
              timedOut.abandon(timedOut.statusIfTimedOut());
            })
        .sync();
    assertEquals(Status.NOT_SENT, TestQueues.next(statuses));
  }

  /**
   * If no descriptor is available there is no channel whose close could release the connection from
   * the budget. Unreleased connections would add up until the budget allows no more.
   */
  @Test
  void connectionBudgetIsReleasedWhenNoSocketIsAvailable() {
    List<InetSocketAddress> dialedAddresses = new ArrayList<>();
    BackendConnectionPool pool =
        new BackendConnectionPool(
            new EmbeddedChannel().eventLoop(),
            new MonotonicClock(),
            (address, handler) -> {
              dialedAddresses.add(address);
              return backendChannel.newFailedFuture(new ChannelException("too many open files"));
            },
            10_000,
            new ConnectionBudget(1),
            PeerMemory.unlimited(),
            new SingleEndpoint(1));
    pool.onEndpointsUpdated(snapshot());
    pool.start(1, attempt(5_000), NO_WRITE_LIMIT);
    pool.start(1, attempt(5_000), NO_WRITE_LIMIT);
    assertEquals(List.of(Status.NOT_SENT, Status.NOT_SENT), List.copyOf(statuses));
    assertEquals(2, dialedAddresses.size());
  }

  /**
   * A middlebox drops idle connections. A request that fails on a dead connection can be retried
   * unless it must not be executed twice, so such a request gets a new connection.
   */
  @Test
  void nonIdempotentAttemptGetsANewConnectionAfterAnIdleOneWasDead() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      BackendConnectionPool pool =
          loop.submit(() -> pool(100, server.getLocalPort())).sync().getNow();
      loop.submit(() -> pool.start(1, attempt(5_000), NO_WRITE_LIMIT));
      Socket first = server.accept();
      respond(first);
      long idleNanos = System.nanoTime();
      TimeUnit.MILLISECONDS.sleep(50);
      loop.submit(() -> pool.start(1, attempt(5_000), NO_WRITE_LIMIT));
      read(first);
      first.setSoLinger(true, 0);
      first.close();
      assertEquals(Status.MALFORMED_RESPONSE, TestQueues.next(statuses));
      idleNanos = System.nanoTime() - idleNanos;
      loop.submit(() -> pool.start(1, attempt(5_000), NO_WRITE_LIMIT));
      Socket second = server.accept();
      respond(second);
      TimeUnit.NANOSECONDS.sleep(idleNanos);
      loop.submit(() -> pool.start(1, attempt(HttpMethod.POST, 5_000), NO_WRITE_LIMIT));
      respond(server.accept());
    }
  }

  /**
   * A second copy of a response arrives while the event loop is busy, and the next request starts
   * before the loop has read the copy. If the request were written to that connection, its client
   * would get the response to another client's request.
   */
  @Test
  void connectionWithAnUnreadSecondResponseIsNotReused() throws Exception {
    assertNextAttemptGetsNewConnectionAfter(
        first -> {
          OutputStream out = first.getOutputStream();
          out.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale".getBytes(US_ASCII));
        });
  }

  /**
   * A second copy of a response arrives some milliseconds after the first. On a connection that had
   * been reused by then, it was treated as the response to the next request, and each response
   * after it as that to the request behind its own.
   */
  @ParameterizedTest
  @ValueSource(ints = {5, 9})
  void connectionIsNotReusedWhileASecondResponseMayArrive(int delayMs) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(2_000);
      BackendConnectionPool pool = poolOnTestClock(server);
      startAttempt(pool);
      Socket first = server.accept();
      respond(first);
      nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(delayMs));
      startAttempt(pool);
      Socket second = server.accept();
      first.getOutputStream().write(EMPTY_RESPONSE.getBytes(US_ASCII));
      read(second);
      assertNull(statuses.poll(100, TimeUnit.MILLISECONDS), "the second copy ended an attempt");
      second.getOutputStream().write(EMPTY_RESPONSE.getBytes(US_ASCII));
      assertEquals(Status.OK, TestQueues.next(statuses));
    }
  }

  /**
   * The backend's kernel holds back a second copy of a response until the first copy is
   * acknowledged (Nagle's algorithm). On a connection with many exchanges, the acknowledgment was
   * sent with the next request, so the copy arrived right after that request and was treated as its
   * response.
   */
  @Test
  void secondResponseHeldBackUntilAnAcknowledgmentIsNotTreatedAsTheNextResponse() throws Exception {
    assumeTrue(Epoll.isAvailable(), "immediate acknowledgments require epoll");
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      BackendConnectionPool pool = poolOnTestClock(server);
      startAttempt(pool);
      Socket first = server.accept();
      respond(first);
      for (int i = 0; i < EXCHANGES_BEFORE_DELAYED_ACKNOWLEDGMENTS; i++) {
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
        startAttempt(pool);
        respond(first);
      }
      nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
      startAttempt(pool);
      respond(first);
      first.getOutputStream().write(EMPTY_RESPONSE.getBytes(US_ASCII));
      nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
      startAttempt(pool);
      respond(server.accept());
    }
  }

  /** A request on a connection that the backend has closed would be lost. */
  @Test
  void connectionWithAnUnreadCloseIsNotReused() throws Exception {
    assertNextAttemptGetsNewConnectionAfter(Socket::close);
  }

  /** After a reset, a read of the socket returns an error instead of an end of stream. */
  @Test
  void connectionWithAnUnreadResetIsNotReused() throws Exception {
    assertNextAttemptGetsNewConnectionAfter(
        first -> {
          first.setSoLinger(true, 0);
          first.close();
        });
  }

  /**
   * A second copy of a response can arrive so late that the next request is already in flight on
   * the connection, and the copy would be treated as its response. After a backend has sent a
   * second response, each request to it gets a new connection for 10 s.
   */
  @Test
  void connectionsAreNotReusedForTenSecondsAfterASecondResponse() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      BackendConnectionPool pool = poolOnTestClock(server);
      startAttempt(pool);
      Socket duplicating = server.accept();
      read(duplicating);
      duplicating.getOutputStream().write((EMPTY_RESPONSE + EMPTY_RESPONSE).getBytes(US_ASCII));
      assertEquals(Status.OK, TestQueues.next(statuses));
      for (int elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 2_500) {
        startAttempt(pool);
        respond(server.accept());
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(2_500));
      }
      startAttempt(pool);
      Socket reused = server.accept();
      respond(reused);
      nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
      startAttempt(pool);
      respond(reused);
    }
  }

  /**
   * A backend is assumed to have restarted after a refused connection, although it still responds.
   * An endpoint list with the old start time must not close the connections opened since.
   */
  @Test
  void connectionsStayOpenWhenTheListDoesNotConfirmASuspectedRestart() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      long address = new SingleEndpoint(server.getLocalPort()).listedAddress();
      EndpointIndex index = indexWithSuspectedRestart(address);
      BackendConnectionPool pool =
          loop.submit(
                  () ->
                      new BackendConnectionPool(
                          loop,
                          new MonotonicClock(nowNanos::get),
                          Dialer.sockets(loop, 5_000),
                          10_000,
                          new ConnectionBudget(100),
                          PeerMemory.unlimited(),
                          index))
              .sync()
              .getNow();
      startAttempt(pool);
      Socket first = server.accept();
      respond(first);
      Endpoint listed = new Endpoint(1, "a", 0, EndpointState.SERVING, 1, 0, address);
      loop.submit(
              () -> {
                pool.onEndpointsUpdated(new EndpointUpdate(1, true, List.of(listed)));
                nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
                pool.start(1, attempt(5_000), NO_WRITE_LIMIT);
              })
          .sync();
      respond(first);
    }
  }

  /**
   * Returns an index of one backend that is listed with an old start time and assumed to have
   * restarted just now.
   */
  private static EndpointIndex indexWithSuspectedRestart(long address) {
    double warmUpMs = 9_000;
    double nowMs = 50_000;
    EndpointIndex index = new EndpointIndex(0);
    int group = index.groupNumber("a", 0);
    int slot = index.add(1, group);
    index.setAddress(slot, address);
    index.update(slot, group, EndpointState.SERVING, 1, 0, warmUpMs, nowMs);
    index.assumeStarted(slot, nowMs, warmUpMs, nowMs);
    return index;
  }

  private BackendConnectionPool poolOnTestClock(ServerSocket server) throws InterruptedException {
    return loop.submit(() -> pool(new MonotonicClock(nowNanos::get), 100, server.getLocalPort()))
        .sync()
        .getNow();
  }

  private void startAttempt(BackendConnectionPool pool) {
    loop.submit(() -> pool.start(1, attempt(5_000), NO_WRITE_LIMIT));
  }

  /** An action of the backend on an idle connection. */
  private interface BackendAction {
    void run(Socket connection) throws IOException;
  }

  private void assertNextAttemptGetsNewConnectionAfter(BackendAction action) throws Exception {
    assumeTrue(Epoll.isAvailable(), "unread input can be detected only with epoll");
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      BackendConnectionPool pool = poolOnTestClock(server);
      startAttempt(pool);
      Socket first = server.accept();
      respond(first);
      loop.submit(
              () -> {
                action.run(first);
                nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
                pool.start(1, attempt(5_000), NO_WRITE_LIMIT);
                return null;
              })
          .sync();
      respond(server.accept());
      assertTrue(statuses.isEmpty(), "no other attempt should have ended");
    }
  }

  private void respond(Socket backend) throws Exception {
    read(backend);
    backend.getOutputStream().write(EMPTY_RESPONSE.getBytes(US_ASCII));
    assertEquals(Status.OK, TestQueues.next(statuses));
  }

  /** Reads the head of a request. */
  private static void read(Socket backend) throws IOException {
    backend.setSoTimeout(10_000);
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = backend.getInputStream().read();
      assertTrue(next >= 0, "connection closed before the end of the request head");
      head.append((char) next);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return server.getLocalPort();
    }
  }
}
