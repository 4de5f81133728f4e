package quotagateway.driver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.backend.Attempt;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.backend.RequestBody;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.server.GatewayServer;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;
import quotagateway.transport.BackendAddress;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.Dialer;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;
import quotagateway.transport.ProtocolHeaders;
import quotagateway.transport.SocketTransport;

/**
 * Tests concurrent events in the order that exposes errors. If a backend connection is being
 * established, both events occur in one turn of the event loop: the kernel has established the
 * connection by then, but the event loop cannot know it yet.
 */
@Timeout(30)
class ConcurrentEventsTest {

  private final GatewayFixture fixture = new GatewayFixture();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final EventLoop loop = group.next();
  private final AtomicLong clockOffsetNanos = new AtomicLong();

  /** Time added by each clock reading, which simulates an event loop that is short of CPU. */
  private final AtomicLong nanosPerClockReading = new AtomicLong();

  private final MonotonicClock clock =
      new MonotonicClock(
          () -> System.nanoTime() + clockOffsetNanos.addAndGet(nanosPerClockReading.get()));
  private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
  private final ServerSocket firstBackend = listen();
  private final ServerSocket secondBackend = listen();
  private PolicySettings settings;
  private PolicyDriver driver;

  /** Whether the client has disconnected without the driver having been notified. */
  private volatile boolean clientDisconnected;

  private static ServerSocket listen() {
    try {
      ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      server.setSoTimeout(10_000);
      return server;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    fixture.close();
    firstBackend.close();
    secondBackend.close();
  }

  private static long encodedAddress(ServerSocket server) {
    return BackendAddress.encode((InetSocketAddress) server.getLocalSocketAddress());
  }

  private static EndpointUpdate endpointUpdate(
      boolean full, long id, ServerSocket server, EndpointState state, double startedMs) {
    return new EndpointUpdate(
        1, full, List.of(new Endpoint(id, "a", 0, state, 1, startedMs, encodedAddress(server))));
  }

  /**
   * Starts a driver whose policy uses no counter and knows the first backend. Must be called on the
   * event loop.
   */
  private void start() throws IOException, InvalidConfigurationException {
    settings =
        GatewayFixture.parse(
                fixture
                    .config()
                    .replace("\"Counter\":true", "\"Counter\":false")
                    .replace("\"RepeatWindowMs\":4000", "\"RepeatWindowMs\":1000"))
            .settings();
    GatewayPolicy policy = new GatewayPolicy(settings, 1);
    driver =
        new PolicyDriver(
            loop,
            clock,
            policy,
            new BackendConnectionPool(
                loop,
                clock,
                Dialer.sockets(loop, 5_000),
                10_000,
                new ConnectionBudget(100),
                PeerMemory.unlimited(),
                policy.servingEndpoints()));
    driver.start(null, endpointUpdate(true, 1, firstBackend, EndpointState.SERVING, 0));
  }

  private void accept(String id) {
    accept(id, 0, new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/" + id));
  }

  private void accept(String id, int classIndex, HttpRequest head) {
    driver.accept(
        new RequestReceived(
            id, settings.requestClasses().get(classIndex), "basic", 1, 1, 1, clock.now() + 4_000),
        head,
        RequestBody.of(Unpooled.EMPTY_BUFFER),
        new ResponseListener() {
          @Override
          public boolean endIfDisconnected() {
            return clientDisconnected;
          }

          @Override
          public void onResponse(FullHttpResponse response) {
            responses.add("complete response");
          }

          @Override
          public boolean reserveStreamMemory() {
            return true;
          }

          @Override
          public void onResponseStart(HttpResponse responseHead, Attempt attempt) {
            responses.add("response started");
          }

          @Override
          public boolean onResponseContent(HttpContent content) {
            return true;
          }

          @Override
          public void onResponseEnd(boolean complete) {
            responses.add("response ended");
          }

          @Override
          public void onRejected(double retryAfterMs) {
            responses.add("rejected");
          }

          @Override
          public void onFailed() {
            responses.add("failed");
          }
        });
  }

  /**
   * Accepts the next connection and returns the first line of its request, or an empty string if
   * the connection ends without one.
   */
  private static String readRequestLine(ServerSocket serverSocket) throws IOException {
    try (Socket connection = serverSocket.accept()) {
      connection.setSoTimeout(10_000);
      StringBuilder line = new StringBuilder();
      for (int b = connection.getInputStream().read();
          b >= 0 && b != '\r';
          b = connection.getInputStream().read()) {
        line.append((char) b);
      }
      return line.toString();
    }
  }

  /**
   * A client disconnects while the backend connection for its request is being established. The
   * request must not be written.
   */
  @Test
  void doesNotWriteRequestAfterClientDisconnected() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              driver.onClientDisconnected("r1");
              return null;
            })
        .sync();
    assertEquals("", readRequestLine(firstBackend));
  }

  /**
   * The kernel has received a client's close, but the event loop reads it only after the backend
   * connection is established. The request must not be written: the gateway checks for a close
   * before it writes.
   */
  @Test
  void doesNotWriteRequestIfClientCloseIsStillUnread() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              clientDisconnected = true;
              return null;
            })
        .sync();
    assertEquals("", readRequestLine(firstBackend));
  }

  /**
   * The shutdown fails all requests while the backend connection for one is being established. The
   * client already has its final response, so the request must not be written.
   */
  @Test
  void doesNotWriteRequestFailedByShutdown() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              driver.failAll();
              return null;
            })
        .sync();
    assertEquals("", readRequestLine(firstBackend));
    assertEquals("failed", TestQueues.next(responses));
  }

  /**
   * Discovery reports that a backend is draining after the policy chose it and before the
   * connection to it is established. The request must go to another backend.
   */
  @Test
  void sendsNoRequestToBackendThatDrainsDuringConnect() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              driver.onEndpointUpdate(
                  new EndpointUpdate(
                      2,
                      false,
                      List.of(
                          new Endpoint(1, "a", 0, EndpointState.DRAINING, 1, 0),
                          new Endpoint(
                              2,
                              "a",
                              0,
                              EndpointState.SERVING,
                              1,
                              0,
                              encodedAddress(secondBackend)))));
              return null;
            })
        .sync();
    assertEquals("", readRequestLine(firstBackend));
    assertEquals("GET /quote/r1 HTTP/1.1", readRequestLine(secondBackend));
  }

  /**
   * Discovery reports a new address of a backend before the connection to the old address is
   * established. Another backend may already use the old address, so the request must go to the new
   * one.
   */
  @Test
  void sendsRequestToNewAddressOfBackendThatMovesDuringConnect() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              driver.onEndpointUpdate(
                  endpointUpdate(false, 1, secondBackend, EndpointState.SERVING, 0));
              return null;
            })
        .sync();
    assertEquals("", readRequestLine(firstBackend));
    assertEquals("GET /quote/r1 HTTP/1.1", readRequestLine(secondBackend));
  }

  /**
   * A backend closes an idle connection. The kernel has received the close, but the event loop has
   * not read it and writes the next request on the connection. The request must be retried on a new
   * connection and get exactly one response.
   */
  @Test
  void retriesRequestWrittenToClosedIdleConnectionOnNewConnection() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              return null;
            })
        .sync();
    Socket idleConnection = firstBackend.accept();
    expectRequestAndRespond(idleConnection, "GET /quote/r1 HTTP/1.1");
    TimeUnit.MILLISECONDS.sleep(30);
    loop.submit(
            () -> {
              idleConnection.close();
              accept("r2");
              return null;
            })
        .sync();
    try (Socket newConnection = firstBackend.accept()) {
      expectRequestAndRespond(newConnection, "GET /quote/r2 HTTP/1.1");
    }
    assertTrue(responses.isEmpty(), "each request must get exactly one response");
  }

  private void expectRequestAndRespond(Socket backend, String expected) throws Exception {
    backend.setSoTimeout(10_000);
    assertEquals(expected, HttpMessage.read(backend.getInputStream()).firstLine());
    TextStreams.write(backend.getOutputStream(), FakeBackend.OK_RESPONSE);
    assertEquals("complete response", TestQueues.next(responses));
  }

  /**
   * The event loop is short of CPU: each clock reading takes 40 ms, and the deduplication window
   * ends between the policy's decision to retry and the write. If the retry were written then, the
   * request would be executed twice.
   */
  @Test
  void doesNotWriteRetryAfterDeduplicationWindowOnSlowEventLoop() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              accept("r2");
              return null;
            })
        .sync();
    Socket first = firstBackend.accept();
    Socket second = firstBackend.accept();
    readRequestAndRespond(first);
    readRequestAndRespond(second);
    HttpRequest requestWithKey =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/buy/r3");
    requestWithKey.headers().set(ProtocolHeaders.IDEMPOTENCY_KEY, "key").set("Content-Length", 0);
    loop.submit(
            () -> {
              clockOffsetNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(20));
              accept("r3", 1, requestWithKey);
            })
        .sync();
    Socket usedConnection = waitForRequest(first, second);
    assertEquals(
        "POST /buy/r3 HTTP/1.1", HttpMessage.read(usedConnection.getInputStream()).firstLine());
    double windowMs = settings.requestClasses().get(1).deduplicationWindowMs();
    loop.submit(
            () -> {
              clockOffsetNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos((long) windowMs - 110));
              nanosPerClockReading.set(TimeUnit.MILLISECONDS.toNanos(40));
              usedConnection.setSoLinger(true, 0);
              usedConnection.close();
              return null;
            })
        .sync();
    assertNotEquals("complete response", TestQueues.next(responses));
    assertEquals(0, (usedConnection == first ? second : first).getInputStream().available());
  }

  private void readRequestAndRespond(Socket backend) throws Exception {
    backend.setSoTimeout(10_000);
    HttpMessage.read(backend.getInputStream());
    TextStreams.write(backend.getOutputStream(), FakeBackend.OK_RESPONSE);
    assertEquals("complete response", TestQueues.next(responses));
  }

  private static Socket waitForRequest(Socket first, Socket second) throws IOException {
    while (true) {
      if (first.getInputStream().available() > 0) {
        return first;
      }
      if (second.getInputStream().available() > 0) {
        return second;
      }
      Thread.onSpinWait();
    }
  }

  /**
   * The shutdown closes the remaining connections while a request is only partly received. Its
   * client must get an error response.
   */
  @Test
  void rejectsPartlyReceivedRequestAtEndOfShutdown() throws Exception {
    fixture.backend.responder = (request, out) -> true;
    GatewayServer gateway =
        fixture.start(
            fixture
                .config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
                .replace("\"DeadlineMs\":4000", "\"DeadlineMs\":1000")
                .replace("\"AimMs\":1500", "\"AimMs\":500"));
    TestClient client = fixture.client();
    client.send(TestRequests.get("h1", 1000).substring(0, 60));
    TestClient idleClient = fixture.client();
    assertEquals(200, idleClient.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
    Thread shutdownThread = new Thread(gateway::shutDownGracefully);
    shutdownThread.start();
    assertTrue(idleClient.isClosedByPeer());
    assertEquals(503, client.receive().status());
    assertTrue(client.isClosedByPeer());
    shutdownThread.join(10_000);
    assertTrue(!shutdownThread.isAlive());
  }

  /**
   * The shutdown closes the remaining connections while a pipelined request waits for an earlier
   * one. The earlier request must fail, the waiting one must be rejected, and the connection must
   * end.
   */
  @Test
  void rejectsWaitingPipelinedRequestAtEndOfShutdown() throws Exception {
    GatewayServer gateway = fixture.start();
    fixture.backend.responder = (request, out) -> true;
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 4000) + TestRequests.get("r2", 4000));
    TestQueues.next(fixture.backend.received);
    gateway
        .eventLoop
        .submit(
            () -> {
              gateway.lifecycle().shutDown();
              gateway.clients().shutDown();
            })
        .sync();
    assertNotEquals(200, client.receive().status());
    assertEquals(503, client.receive().status());
    assertTrue(client.isClosedByPeer());
  }
}
