package quotagateway.backend;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.event.Status;
import quotagateway.transport.ConnectionBudget;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;

/**
 * Tests pauses of a backend within a response. A pause of 250 ms is reported as a stall, on which
 * the attempt's owner decides. The test uses no sockets and its own clock, so that delays of the
 * machine do not affect it.
 */
class StalledResponseTest {

  private static final long MAX_STALL_MS = 250;
  private static final long MAX_WITHHELD_MS = 1_500;
  private static final long TIMEOUT_MS = 5_100;
  private static final double NO_WRITE_LIMIT = Double.POSITIVE_INFINITY;

  private final EmbeddedChannel connection = new EmbeddedChannel();
  private final EmbeddedChannel timers = new EmbeddedChannel();
  private final List<String> results = new ArrayList<>();
  private final List<String> progress = new ArrayList<>();
  private final StringBuilder streamed = new StringBuilder();
  private long nowNanos;

  /** Whether the attempt is given up when its response stalls. */
  private boolean giveUpOnStall;

  private void startAttempt() {
    startAttempt(HttpMethod.GET);
  }

  private void startAttempt(HttpMethod method) {
    connection.freezeTime();
    timers.freezeTime();
    BackendConnectionPool pool =
        new BackendConnectionPool(
            timers.eventLoop(),
            new MonotonicClock(() -> nowNanos),
            (address, handler) -> {
              connection.pipeline().addLast(handler);
              return connection.newSucceededFuture();
            },
            10_000,
            new ConnectionBudget(100),
            PeerMemory.unlimited(),
            new SingleEndpoint(1));
    Endpoint endpoint = new Endpoint(1, "a", 0, EndpointState.SERVING, 1, 0);
    pool.onEndpointsUpdated(new EndpointUpdate(1, true, List.of(endpoint)));
    pool.start(1, new RecordedAttempt(method), NO_WRITE_LIMIT);
    connection.releaseOutbound();
  }

  private final class RecordedAttempt extends Attempt {

    RecordedAttempt(HttpMethod method) {
      super(
          new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/quote/1"),
          RequestBody.of(Unpooled.EMPTY_BUFFER),
          TIMEOUT_MS);
    }

    @Override
    public void onResponseProgress(boolean stalled) {
      progress.add(stalled ? "STALLED" : "BEGUN");
      if (stalled && giveUpOnStall) {
        abandon(statusIfResponseStalled());
      }
    }

    @Override
    public boolean onResponseStart(HttpResponse response) {
      return true;
    }

    @Override
    public boolean onResponseContent(HttpContent piece) {
      streamed.append(piece.content().toString(US_ASCII));
      return true;
    }

    @Override
    public void onEnd(Status status, FullHttpResponse response) {
      results.add(
          response == null ? "" + status : status + " " + response.content().toString(US_ASCII));
    }
  }

  private void receive(String text) {
    connection.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
  }

  private void advance(long ms) {
    for (long i = 0; i < ms; i++) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(1);
      connection.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      connection.runScheduledPendingTasks();
      timers.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      timers.runScheduledPendingTasks();
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {100, MAX_STALL_MS - 1})
  void servesCompleteResponseWhenPausesAreWithinTheLimit(long pauseMs) {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
    for (int i = 0; i < 8; i++) {
      advance(pauseMs);
      receive("x");
    }
    assertEquals(List.of("OK xxxxxxxx"), results);
  }

  /**
   * A slow response without an announced length is streamed, because its client may await the first
   * bytes.
   */
  @ParameterizedTest
  @ValueSource(longs = {100, MAX_STALL_MS - 1})
  void streamsChunkedResponseWhenPausesAreWithinTheLimit(long pauseMs) {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 8; i++) {
      advance(pauseMs);
      receive("1\r\nx\r\n");
    }
    receive("0\r\n\r\n");
    assertEquals("xxxxxxxx", streamed.toString());
    assertEquals(List.of("OK"), results);
  }

  /**
   * No other attempt may replace the response to a request that must not run twice. It was given up
   * after the same pause, and its client got an error, although its backend went on.
   */
  @Test
  void responseThatCannotBeReplacedIsAwaited() {
    startAttempt(HttpMethod.POST);
    receive("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
    for (int i = 0; i < 8; i++) {
      advance(2 * MAX_STALL_MS);
      receive("x");
    }
    assertEquals(List.of("OK xxxxxxxx"), results);
  }

  /**
   * A backend hangs in the middle of a response and goes on after 24 s. The client has a part of
   * it, which no other attempt can complete, so giving it up cut off what the backend still sent.
   */
  @Test
  void streamedResponseIsAwaitedForLongerThanBackendsHang() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nx");
    advance(24_000);
    receive("x".repeat(99_999));
    assertEquals(100_000, streamed.length());
    assertEquals(List.of("OK"), results);
  }

  @Test
  void streamedResponseIsGivenUpIfNothingMoreComes() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nx");
    advance(31_000);
    assertEquals(List.of("RESET"), results);
  }

  /** The check runs every 250 ms, so a stall is reported after at most twice the limit. */
  @Test
  void stalledResponseIsReportedOnceAndAwaited() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nx");
    advance(MAX_STALL_MS - 1);
    assertEquals(List.of("BEGUN"), progress);
    advance(MAX_STALL_MS + 1);
    assertEquals(List.of("BEGUN", "STALLED"), progress);
    advance(4 * MAX_STALL_MS);
    receive("xxx");
    receive("xxxx");
    assertEquals(List.of("BEGUN", "STALLED", "BEGUN"), progress);
    assertEquals(List.of("OK xxxxxxxx"), results);
  }

  @Test
  void responseThatIsGivenUpOnItsStallEndsAtOnce() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nx");
    giveUpOnStall = true;
    advance(2 * MAX_STALL_MS);
    assertEquals(List.of("RESPONSE_STALLED"), results);
    assertTrue(!connection.isActive());
  }

  /** A chunked response was streamed behind a stall, so that no other attempt could replace it. */
  @Test
  void stalledResponseIsWithheldOnlyForAsLongAsItMayBeReplaced() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
    advance(MAX_WITHHELD_MS - MAX_STALL_MS);
    assertEquals("", streamed.toString());
    assertEquals(List.of("BEGUN", "STALLED"), progress);
    advance(2 * MAX_STALL_MS);
    assertEquals("x", streamed.toString());
  }

  /**
   * A backend that reads its request slowly may send the head first. Streamed, the small response
   * behind it came seconds after its time.
   */
  @ParameterizedTest
  @ValueSource(strings = {"GET", "POST"})
  void headAloneIsNotStreamed(String method) {
    startAttempt(HttpMethod.valueOf(method));
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    advance(TIMEOUT_MS);
    assertEquals(List.of("TIMED_OUT"), results);
  }

  @Test
  void responseThatArrivesAtTheDeadlineIsStreamed() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    advance(TIMEOUT_MS - MAX_STALL_MS / 2);
    assertEquals("", streamed.toString());
    receive("1\r\nx\r\n");
    advance(MAX_STALL_MS / 2);
    assertEquals("x", streamed.toString());
    receive("0\r\n\r\n");
    assertEquals(List.of("OK"), results);
  }

  @Test
  void responseThatStallsAtTheDeadlineIsGivenUp() {
    startAttempt();
    advance(TIMEOUT_MS - 2 * MAX_STALL_MS);
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
    advance(2 * MAX_STALL_MS);
    assertEquals(List.of("TIMED_OUT"), results);
  }

  /** Its first pieces come together; it was streamed, as they were just under 250 ms old. */
  @Test
  void responseThatStopsBehindItsFirstPiecesIsNotStreamed() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    advance(3);
    receive("1\r\nx\r\n");
    advance(4 * MAX_STALL_MS);
    assertEquals("", streamed.toString());
    assertEquals(List.of("BEGUN", "STALLED"), progress);
  }

  /**
   * A small response has to be complete in half a second after the deadline. One that was streamed
   * had no limit but that of 30 s without progress.
   */
  @Test
  void smallStreamedResponseThatStallsPastItsDeadlineEndsInTime() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    advance(MAX_STALL_MS - 1);
    receive("1\r\nx\r\n");
    advance(TIMEOUT_MS - MAX_STALL_MS);
    assertEquals(List.of(), results);
    advance(500);
    assertEquals("x", streamed.toString());
    assertEquals(List.of("RESET"), results);
  }

  /** Of a large one only the first bytes have to come in time, so what still arrives is awaited. */
  @Test
  void largeStreamedResponseThatStallsPastItsDeadlineIsAwaited() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    receive("11170\r\n" + "x".repeat(70_000) + "\r\n");
    advance(TIMEOUT_MS + 5_000);
    receive("1\r\nx\r\n0\r\n\r\n");
    assertEquals(70_001, streamed.length());
    assertEquals(List.of("OK"), results);
  }

  /** Its request gets a final response at the deadline, which comes soon enough. */
  @Test
  void stalledResponseIsNotPassedOnShortlyBeforeTheDeadline() {
    startAttempt();
    advance(TIMEOUT_MS - MAX_WITHHELD_MS - MAX_STALL_MS);
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
    advance(MAX_WITHHELD_MS + MAX_STALL_MS);
    assertEquals("", streamed.toString());
    assertEquals(List.of("TIMED_OUT"), results);
  }

  /** It began shortly before the deadline and stopped; streamed, it was cut off later on. */
  @Test
  void responseThatStoppedBeforeTheDeadlineIsNotStreamed() {
    startAttempt();
    advance(TIMEOUT_MS - MAX_STALL_MS + 40);
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
    advance(MAX_STALL_MS - 40);
    assertEquals("", streamed.toString());
    assertEquals(List.of("TIMED_OUT"), results);
  }
}
