package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import quotagateway.policy.GatewayPolicy;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.GatewayProcess;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TestClient;
import quotagateway.testing.TextStreams;

/**
 * Tests responses that all backends write with a pause, on a real gateway process between seven
 * fake backends. The requests are of all effects, and their deadline has room for the pause.
 */
@Timeout(60)
class SlowResponseTest {

  private static final int BACKENDS = 7;
  private static final int REQUESTS = 12;
  private static final int TIMEOUT_MS = 1_660;
  private static final int MAX_LATE_MS = 500;
  private static final int PAUSE_MS = 900;

  /** Less than what the gateway buffers of a response. */
  private static final int SMALL_BYTES = 40_000;

  private static final int LARGE_BYTES = 116_000;

  /** Never released; backends wait on it for the time of their pauses. */
  private static final CountDownLatch NEVER = new CountDownLatch(1);

  private static final GatewayFixture PEERS = new GatewayFixture();
  private static final List<FakeBackend> BACKEND_LIST = new ArrayList<>();
  private static final ExecutorService CLIENTS = Executors.newCachedThreadPool();
  private static InetSocketAddress gatewayAddress;
  private static GatewayProcess gateway;

  /** How a response tells its end. */
  private enum Framing {
    LENGTH,
    CHUNKED,
    UNTIL_CLOSE;

    String head(int bytes) {
      return switch (this) {
        case LENGTH -> "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n";
        case CHUNKED -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        case UNTIL_CLOSE -> "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
      };
    }

    String piece(int bytes) {
      String text = "x".repeat(bytes);
      boolean framed = this == CHUNKED && bytes > 0;
      return framed ? Integer.toHexString(bytes) + "\r\n" + text + "\r\n" : text;
    }

    String end() {
      return this == CHUNKED ? "0\r\n\r\n" : "";
    }
  }

  /** The outcome of one request. */
  private record Outcome(int status, int bodyBytes, boolean inTime) {}

  @BeforeAll
  static void startGateway() throws Exception {
    List<String> entries = new ArrayList<>();
    for (int i = 0; i < BACKENDS; i++) {
      FakeBackend backend = new FakeBackend();
      BACKEND_LIST.add(backend);
      entries.add(EndpointListJson.entry("s-" + i, backend.port(), "active"));
    }
    gatewayAddress = freeAddress();
    InetSocketAddress admin = freeAddress();
    Path folder = Files.createTempDirectory("slow-response");
    Path config = folder.resolve("config.json");
    Files.writeString(config, config(entries));
    String classPath =
        GatewayPolicy.class.getProtectionDomain().getCodeSource().getLocation().getPath();
    gateway =
        new GatewayProcess(
            GatewayProcess.commandOf(classPath, folder),
            Map.of("GW_CONFIG", config.toString(), "GW_MGMT", text(admin)),
            folder.resolve("log"));
    while (readiness(admin) != 200) {
      NEVER.await(20, TimeUnit.MILLISECONDS);
    }
  }

  /** The latency objective is long, so that no request is rejected for load. */
  private static String config(List<String> entries) {
    return PEERS
        .config(entries.toArray(String[]::new))
        .replace("127.0.0.1:0\",\"mgmt\"", text(gatewayAddress) + "\",\"mgmt\"")
        .replace("\"AimMs\":1500", "\"AimMs\":15000")
        .replace(
            "\"Profiles\":[",
            "\"Profiles\":[{\"Name\":\"seal\",\"Repeat\":\"side_effect\",\"AimMs\":15000,"
                + "\"DeadlineMs\":4000,\"Value\":1,\"Group\":\"all\"},");
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }

  private static String text(InetSocketAddress address) {
    return "127.0.0.1:" + address.getPort();
  }

  private static int readiness(InetSocketAddress admin) {
    try (TestClient operator = new TestClient(admin)) {
      return operator.exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
    } catch (IOException e) {
      return 0;
    }
  }

  @AfterAll
  static void stop() throws IOException {
    gateway.close();
    CLIENTS.shutdownNow();
    for (FakeBackend backend : BACKEND_LIST) {
      backend.close();
    }
    PEERS.close();
  }

  private static void pause(long ms) throws IOException {
    try {
      NEVER.await(ms, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private static boolean respond(
      OutputStream out, Framing framing, int bytes, int bytesBeforePause, long pauseMs)
      throws IOException {
    TextStreams.write(out, framing.head(bytes) + framing.piece(bytesBeforePause));
    pause(pauseMs);
    TextStreams.write(out, framing.piece(bytes - bytesBeforePause) + framing.end());
    return framing != Framing.UNTIL_CLOSE;
  }

  private static String request(int number) {
    String id = "%016x".formatted(System.nanoTime() + number);
    String get =
        "GET /quote/1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: quote\r\n"
            .formatted(id);
    String keyed =
        "POST /buy/1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: buy\r\n"
                .formatted(id)
            + "Idempotency-Key: key-"
            + id
            + "\r\nContent-Length: 0\r\n";
    String once =
        "POST /seal/1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: seal\r\n"
                .formatted(id)
            + "Content-Length: 0\r\n";
    return List.of(get, keyed, once).get(number % 3)
        + "X-Plan: basic\r\nX-Customer: 00000000b4d65521\r\nRequest-Timeout-Ms: "
        + TIMEOUT_MS
        + "\r\nX-Quota: units=2,spread=2,first=1\r\n\r\n";
  }

  private static Outcome exchange(String request) throws IOException {
    try (TestClient client = new TestClient(gatewayAddress)) {
      long startNanos = System.nanoTime();
      HttpMessage response = client.exchange(request);
      long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      return new Outcome(
          response.status(), response.body().length, tookMs <= TIMEOUT_MS + MAX_LATE_MS);
    }
  }

  private static List<Outcome> exchangeAll() throws Exception {
    List<Callable<Outcome>> tasks = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String request = request(i);
      tasks.add(() -> exchange(request));
    }
    List<Outcome> outcomes = new ArrayList<>();
    for (Future<Outcome> outcome : CLIENTS.invokeAll(tasks)) {
      outcomes.add(outcome.get());
    }
    return outcomes;
  }

  private static void assertAllServed(int bytes) throws Exception {
    List<Outcome> expected = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      expected.add(new Outcome(200, bytes, true));
    }
    assertEquals(expected, exchangeAll());
  }

  /** Each attempt was given up after 250 ms without progress, until no time was left for one. */
  @ParameterizedTest
  @CsvSource({
    "LENGTH, 40000, 0",
    "LENGTH, 40000, 20000",
    "LENGTH, 116000, 25000",
    "CHUNKED, 40000, 0",
    "CHUNKED, 40000, 20000",
    "CHUNKED, 116000, 0",
    "CHUNKED, 116000, 25000",
    "UNTIL_CLOSE, 40000, 0",
    "UNTIL_CLOSE, 40000, 20000",
    "UNTIL_CLOSE, 116000, 0",
    "UNTIL_CLOSE, 116000, 25000"
  })
  void responseThatAllBackendsWriteSlowlyIsServed(Framing framing, int bytes, int bytesBeforePause)
      throws Exception {
    for (FakeBackend backend : BACKEND_LIST) {
      backend.responder =
          (request, out) -> respond(out, framing, bytes, bytesBeforePause, PAUSE_MS);
    }
    assertAllServed(bytes);
  }

  /**
   * A response that never ended was streamed, so that its request could not be served elsewhere.
   */
  @ParameterizedTest
  @CsvSource({
    "LENGTH, 40000, 20000",
    "CHUNKED, 40000, 20000",
    "CHUNKED, 116000, 25000",
    "UNTIL_CLOSE, 116000, 25000",
    "CHUNKED, 116000, 0"
  })
  void requestIsServedElsewhereIfOneBackendNeverEndsItsResponses(
      Framing framing, int bytes, int bytesBeforePause) throws Exception {
    for (FakeBackend backend : BACKEND_LIST) {
      backend.responder = (request, out) -> respond(out, framing, bytes, bytes, 0);
    }
    BACKEND_LIST.get(0).responder =
        (request, out) ->
            !request.firstLine().contains("/seal/")
                ? respond(out, framing, bytes, bytesBeforePause, TIMEOUT_MS * 4)
                : respond(out, framing, bytes, bytes, 0);
    assertAllServed(bytes);
  }

  @Test
  void promptResponsesOfAllSizesAreServed() throws Exception {
    for (int bytes : new int[] {SMALL_BYTES, LARGE_BYTES}) {
      for (FakeBackend backend : BACKEND_LIST) {
        backend.responder = (request, out) -> respond(out, Framing.CHUNKED, bytes, bytes, 0);
      }
      assertAllServed(bytes);
    }
  }
}
