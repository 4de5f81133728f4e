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
import quotagateway.transport.ProtocolHeaders;
import quotagateway.transport.SocketTransport;

/**
 * Events that cross, in the order that does harm. Where a connection is coming up, both happen in
 * one turn of the event loop: the kernel has the connection by then, and the loop cannot know.
 */
@Timeout(30)
class ConcurrentEventsTest {

  private final GatewayFixture fixture = new GatewayFixture();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, SocketTransport.PREFERRED.ioHandler());
  private final EventLoop loop = group.next();
  private final AtomicLong offsetNanos = new AtomicLong();

  /** What each reading of the clock takes, as where a share of a core is used up. */
  private final AtomicLong nanosForEachReading = new AtomicLong();

  private final MonotonicClock clock =
      new MonotonicClock(
          () -> System.nanoTime() + offsetNanos.addAndGet(nanosForEachReading.get()));
  private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
  private final ServerSocket first = listen();
  private final ServerSocket second = listen();
  private PolicySettings settings;
  private PolicyDriver driver;

  /** Whether the client has disconnected, of which the driver was not notified. */
  private volatile boolean disconnected;

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
    first.close();
    second.close();
  }

  private static long address(ServerSocket server) {
    return BackendAddress.encode((InetSocketAddress) server.getLocalSocketAddress());
  }

  private static EndpointUpdate update(
      boolean full, long id, ServerSocket server, EndpointState state, double startedMs) {
    return new EndpointUpdate(
        1, full, List.of(new Endpoint(id, "a", 0, state, 1, startedMs, address(server))));
  }

  /**
   * Starts a driver whose policy has no counter and knows the first backend; to be called on the
   * loop.
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
                policy.servingEndpoints()));
    driver.start(null, update(true, 1, first, EndpointState.SERVING, 0));
  }

  private void accept(String id) {
    accept(id, 0, new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/" + id));
  }

  private void accept(String id, int type, HttpRequest head) {
    driver.accept(
        new RequestReceived(
            id, settings.requestClasses().get(type), "basic", 1, 1, 1, clock.now() + 4_000),
        head,
        RequestBody.of(Unpooled.EMPTY_BUFFER),
        new ResponseListener() {
          @Override
          public boolean endIfDisconnected() {
            return disconnected;
          }

          @Override
          public void onResponse(FullHttpResponse answer) {
            answers.add("served");
          }

          @Override
          public void onResponseStart(HttpResponse head, Attempt from) {
            answers.add("begun");
          }

          @Override
          public boolean onResponseContent(HttpContent piece) {
            return true;
          }

          @Override
          public void onResponseEnd(boolean whole) {
            answers.add("ended");
          }

          @Override
          public void onRejected(double holdOffMs) {
            answers.add("refused");
          }

          @Override
          public void onFailed() {
            answers.add("failed");
          }
        });
  }

  /** What comes on the next connection there: a request's first line, or nothing. */
  private static String heard(ServerSocket at) throws IOException {
    try (Socket taken = at.accept()) {
      taken.setSoTimeout(10_000);
      StringBuilder line = new StringBuilder();
      for (int b = taken.getInputStream().read();
          b >= 0 && b != '\r';
          b = taken.getInputStream().read()) {
        line.append((char) b);
      }
      return line.toString();
    }
  }

  /** A client disconnects while the connection for its request is coming up: nothing is written. */
  @Test
  void requestOfADisconnectedClientIsNotWritten() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              driver.onClientDisconnected("r1");
              return null;
            })
        .sync();
    assertEquals("", heard(first));
  }

  /**
   * A client's close has reached the kernel, and the loop reads it only after the connection for
   * the request is up. Nothing is written all the same: the close is looked for before the write.
   */
  @Test
  void requestOfAClientWhoseCloseWasNotReadYetIsNotWritten() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              disconnected = true;
              return null;
            })
        .sync();
    assertEquals("", heard(first));
  }

  /**
   * The shutdown fails all open requests while the connection for one is coming up. The client has
   * its final response by then: nothing is written.
   */
  @Test
  void requestThatTheShutdownFailedIsNotWritten() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              driver.failAll();
              return null;
            })
        .sync();
    assertEquals("", heard(first));
    assertEquals("failed", TestQueues.next(answers));
  }

  /**
   * Discovery reports that a backend is draining after the policy chose it and before the
   * connection to it is up: the request goes to another.
   */
  @Test
  void backendThatDrainsWhileItsConnectionComesUpGetsNoRequest() throws Exception {
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
                          new Endpoint(2, "a", 0, EndpointState.SERVING, 1, 0, address(second)))));
              return null;
            })
        .sync();
    assertEquals("", heard(first));
    assertEquals("GET /quote/r1 HTTP/1.1", heard(second));
  }

  /**
   * Discovery reports another address of a backend before the connection to it is up. By then
   * another backend may live at the old one: the request goes to the new one.
   */
  @Test
  void backendThatMovesWhileItsConnectionComesUpGetsTheRequestAtItsNewAddress() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              driver.onEndpointUpdate(update(false, 1, second, EndpointState.SERVING, 0));
              return null;
            })
        .sync();
    assertEquals("", heard(first));
    assertEquals("GET /quote/r1 HTTP/1.1", heard(second));
  }

  /**
   * A backend closes an idle connection; the kernel has seen it, the loop has not, and writes the
   * next request on it. The request is retried on a new connection, and has one response.
   */
  @Test
  void requestWrittenOnAClosedIdleConnectionIsRetriedOnANewOne() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              return null;
            })
        .sync();
    Socket kept = first.accept();
    answer(kept, "GET /quote/r1 HTTP/1.1");
    TimeUnit.MILLISECONDS.sleep(30);
    loop.submit(
            () -> {
              kept.close();
              accept("r2");
              return null;
            })
        .sync();
    try (Socket fresh = first.accept()) {
      answer(fresh, "GET /quote/r2 HTTP/1.1");
    }
    assertTrue(answers.isEmpty(), "each request has one answer");
  }

  private void answer(Socket backend, String expected) throws Exception {
    backend.setSoTimeout(10_000);
    assertEquals(expected, HttpMessage.read(backend.getInputStream()).firstLine());
    TextStreams.write(backend.getOutputStream(), FakeBackend.OK_RESPONSE);
    assertEquals("served", TestQueues.next(answers));
  }

  /**
   * The loop is short of CPU: each step takes 40 ms, and the deduplication window ends between the
   * policy's decision to retry and the write. Written then, the request would be executed twice.
   */
  @Test
  void retryIsNotWrittenAfterItsDeduplicationWindowWhereTheLoopIsSlow() throws Exception {
    loop.submit(
            () -> {
              start();
              accept("r1");
              accept("r2");
              return null;
            })
        .sync();
    Socket one = first.accept();
    Socket two = first.accept();
    answerAny(one);
    answerAny(two);
    HttpRequest withKey = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/buy/r3");
    withKey.headers().set(ProtocolHeaders.IDEMPOTENCY_KEY, "key").set("Content-Length", 0);
    loop.submit(
            () -> {
              offsetNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(20));
              accept("r3", 1, withKey);
            })
        .sync();
    Socket used = waitForRequest(one, two);
    assertEquals("POST /buy/r3 HTTP/1.1", HttpMessage.read(used.getInputStream()).firstLine());
    double window = settings.requestClasses().get(1).deduplicationWindowMs();
    loop.submit(
            () -> {
              offsetNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos((long) window - 110));
              nanosForEachReading.set(TimeUnit.MILLISECONDS.toNanos(40));
              used.setSoLinger(true, 0);
              used.close();
              return null;
            })
        .sync();
    assertNotEquals("served", TestQueues.next(answers));
    assertEquals(0, (used == one ? two : one).getInputStream().available());
  }

  private void answerAny(Socket backend) throws Exception {
    backend.setSoTimeout(10_000);
    HttpMessage.read(backend.getInputStream());
    TextStreams.write(backend.getOutputStream(), FakeBackend.OK_RESPONSE);
    assertEquals("served", TestQueues.next(answers));
  }

  private static Socket waitForRequest(Socket one, Socket two) throws IOException {
    while (true) {
      if (one.getInputStream().available() > 0) {
        return one;
      }
      if (two.getInputStream().available() > 0) {
        return two;
      }
      Thread.onSpinWait();
    }
  }

  /**
   * The shutdown closes what is left while half of a request has come: its client gets an error.
   */
  @Test
  void halfReadRequestIsRejectedAtTheEndOfTheShutdown() throws Exception {
    fixture.backend.responder = (request, out) -> true;
    GatewayServer gateway =
        fixture.start(
            fixture
                .config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
                .replace("\"DeadlineMs\":4000", "\"DeadlineMs\":1000")
                .replace("\"AimMs\":1500", "\"AimMs\":500"));
    TestClient half = fixture.client();
    half.send(TestRequests.get("h1", 1000).substring(0, 60));
    TestClient kept = fixture.client();
    assertEquals(200, kept.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
    Thread end = new Thread(gateway::shutDownGracefully);
    end.start();
    assertTrue(kept.ended());
    assertEquals(503, half.receive().status());
    assertTrue(half.ended());
    end.join(10_000);
    assertTrue(!end.isAlive());
  }

  /**
   * The shutdown closes what is left while a pipelined request waits behind another. The open one
   * fails, the waiting one is rejected, and the connection ends.
   */
  @Test
  void pipelinedRequestIsRejectedAtTheEndOfTheShutdown() throws Exception {
    GatewayServer gateway = fixture.start();
    fixture.backend.responder = (request, out) -> true;
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 4000) + TestRequests.get("r2", 4000));
    TestQueues.next(fixture.backend.received);
    gateway
        .loop
        .submit(
            () -> {
              gateway.lifecycle().shutDown();
              gateway.clients().shutDown();
            })
        .sync();
    assertNotEquals(200, client.receive().status());
    assertEquals(503, client.receive().status());
    assertTrue(client.ended());
  }
}
