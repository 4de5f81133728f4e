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
 * Events that cross, in the bad order. Where a connection is coming up, both happen in one turn of
 * the event loop: the kernel has the connection by then, and the loop cannot know.
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

  /** Whether the client has left, which the driver was not told. */
  private volatile boolean left;

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

  private static long at(ServerSocket place) {
    return BackendAddress.encode((InetSocketAddress) place.getLocalSocketAddress());
  }

  private static EndpointUpdate news(
      boolean full, long id, ServerSocket place, EndpointState phase, double startedMs) {
    return new EndpointUpdate(
        1, full, List.of(new Endpoint(id, "a", 0, phase, 1, startedMs, at(place))));
  }

  /**
   * A driver whose module asks no counter and knows the first backend; to be called on the loop.
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
                policy.listing()));
    driver.start(null, news(true, 1, first, EndpointState.SERVING, 0));
  }

  private void take(String id) {
    take(id, 0, new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/" + id));
  }

  private void take(String id, int type, HttpRequest head) {
    driver.accept(
        new RequestReceived(
            id, settings.requestClasses().get(type), "basic", 1, 1, 1, clock.now() + 4_000),
        head,
        RequestBody.of(Unpooled.EMPTY_BUFFER),
        new ResponseListener() {
          @Override
          public boolean isDisconnected() {
            return left;
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

  @Test
  void aClientLeavesBeforeTheConnectionForItsRequestIsUp() throws Exception {
    loop.submit(
            () -> {
              start();
              take("r1");
              driver.disconnectClient("r1");
              return null;
            })
        .sync();
    assertEquals("", heard(first));
  }

  /** The close is there, and is not read before the connection for the request is up. */
  @Test
  void aClientLeavesUnheardBeforeTheConnectionForItsRequestIsUp() throws Exception {
    loop.submit(
            () -> {
              start();
              take("r1");
              left = true;
              return null;
            })
        .sync();
    assertEquals("", heard(first));
  }

  @Test
  void theLastCallComesBeforeTheConnectionForARequestIsUp() throws Exception {
    loop.submit(
            () -> {
              start();
              take("r1");
              driver.failAll();
              return null;
            })
        .sync();
    assertEquals("", heard(first));
    assertEquals("failed", TestQueues.next(answers));
  }

  @Test
  void aBackendDrainsBetweenTheChoiceAndItsConnection() throws Exception {
    loop.submit(
            () -> {
              start();
              take("r1");
              driver.onEndpointUpdate(
                  new EndpointUpdate(
                      2,
                      false,
                      List.of(
                          new Endpoint(1, "a", 0, EndpointState.DRAINING, 1, 0),
                          new Endpoint(2, "a", 0, EndpointState.SERVING, 1, 0, at(second)))));
              return null;
            })
        .sync();
    assertEquals("", heard(first));
    assertEquals("GET /quote/r1 HTTP/1.1", heard(second));
  }

  /** Another backend may live where this one did by the time that the connection is up. */
  @Test
  void aBackendMovesBetweenTheChoiceAndItsConnection() throws Exception {
    loop.submit(
            () -> {
              start();
              take("r1");
              driver.onEndpointUpdate(news(false, 1, second, EndpointState.SERVING, 0));
              return null;
            })
        .sync();
    assertEquals("", heard(first));
    assertEquals("GET /quote/r1 HTTP/1.1", heard(second));
  }

  /**
   * The loop writes on a kept connection of which the kernel, but not the loop, has seen the end.
   */
  @Test
  void aBackendClosesAnIdleConnectionUnderTheNextRequest() throws Exception {
    loop.submit(
            () -> {
              start();
              take("r1");
              return null;
            })
        .sync();
    Socket kept = first.accept();
    answer(kept, "GET /quote/r1 HTTP/1.1");
    TimeUnit.MILLISECONDS.sleep(30);
    loop.submit(
            () -> {
              kept.close();
              take("r2");
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
   * The window of repeats ends between the module's decision and the write, as each step takes 40
   * ms.
   */
  @Test
  void aRepeatIsNotWrittenBehindItsWindowWhereTheLoopIsSlow() throws Exception {
    loop.submit(
            () -> {
              start();
              take("r1");
              take("r2");
              return null;
            })
        .sync();
    Socket one = first.accept();
    Socket two = first.accept();
    answerAny(one);
    answerAny(two);
    HttpRequest keyed = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/buy/r3");
    keyed.headers().set(ProtocolHeaders.IDEMPOTENCY_KEY, "key").set("Content-Length", 0);
    loop.submit(
            () -> {
              offsetNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(20));
              take("r3", 1, keyed);
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

  /** At the last call what is half read is refused, and so is what waits behind a request. */
  @Test
  void theEndComesBeforeTheRestOfARequest() throws Exception {
    fixture.backend.responder = (request, out) -> true;
    GatewayServer door =
        fixture.start(
            fixture
                .config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
                .replace("\"DeadlineMs\":4000", "\"DeadlineMs\":1000")
                .replace("\"AimMs\":1500", "\"AimMs\":500"));
    TestClient half = fixture.client();
    half.send(TestRequests.get("h1", 1000).substring(0, 60));
    TestClient kept = fixture.client();
    assertEquals(200, kept.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status());
    Thread end = new Thread(door::shutDownGracefully);
    end.start();
    assertTrue(kept.ended());
    assertEquals(503, half.receive().status());
    assertTrue(half.ended());
    end.join(10_000);
    assertTrue(!end.isAlive());
  }

  @Test
  void theEndComesBeforeTheTurnOfWhatWaitsBehindARequest() throws Exception {
    GatewayServer door = fixture.start();
    fixture.backend.responder = (request, out) -> true;
    TestClient client = fixture.client();
    client.send(TestRequests.get("r1", 4000) + TestRequests.get("r2", 4000));
    TestQueues.next(fixture.backend.received);
    door.loop
        .submit(
            () -> {
              door.lifecycle().end();
              door.clients().shutDown();
            })
        .sync();
    assertNotEquals(200, client.receive().status());
    assertEquals(503, client.receive().status());
    assertTrue(client.ended());
  }
}
