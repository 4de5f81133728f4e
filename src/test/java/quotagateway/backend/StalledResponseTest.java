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

/**
 * A backend begins a response and then sends nothing for a while. Up to 250 ms it is slow, and its
 * response is served; beyond, it is given up while another attempt can still replace it. Without
 * sockets and in time that the test advances, so that no delay of the machine changes what is seen.
 */
class StalledResponseTest {

  private static final long MAX_STALL_MS = 250;
  private static final double FOREVER = Double.POSITIVE_INFINITY;

  private final EmbeddedChannel connection = new EmbeddedChannel();
  private final List<String> ends = new ArrayList<>();
  private final StringBuilder streamed = new StringBuilder();
  private long nanos;

  private void startAttempt() {
    BackendConnectionPool pool =
        new BackendConnectionPool(
            new EmbeddedChannel().eventLoop(),
            new MonotonicClock(() -> nanos),
            (address, handler) -> {
              connection.pipeline().addLast(handler);
              return connection.newSucceededFuture();
            },
            10_000,
            new ConnectionBudget(100),
            new SingleEndpoint(1));
    Endpoint endpoint = new Endpoint(1, "a", 0, EndpointState.SERVING, 1, 0);
    pool.onEndpointsUpdated(new EndpointUpdate(1, true, List.of(endpoint)));
    pool.start(1, new RecordedAttempt(), FOREVER);
    connection.releaseOutbound();
  }

  private final class RecordedAttempt extends Attempt {

    RecordedAttempt() {
      super(
          new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/1"),
          RequestBody.of(Unpooled.EMPTY_BUFFER),
          5_000);
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
      ends.add(
          response == null ? "" + status : status + " " + response.content().toString(US_ASCII));
    }
  }

  private void receive(String text) {
    connection.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
  }

  private void advance(long ms) {
    for (long i = 0; i < ms; i++) {
      nanos += TimeUnit.MILLISECONDS.toNanos(1);
      connection.advanceTimeBy(1, TimeUnit.MILLISECONDS);
      connection.runScheduledPendingTasks();
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {100, MAX_STALL_MS - 1})
  void responseInPiecesWithinTheLimitIsServedWhole(long pauseMs) {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
    for (int i = 0; i < 8; i++) {
      advance(pauseMs);
      receive("x");
    }
    assertEquals(List.of("OK xxxxxxxx"), ends);
  }

  /** Without an announced length it is streamed once it is slow, as its client may wait for it. */
  @ParameterizedTest
  @ValueSource(longs = {100, MAX_STALL_MS - 1})
  void chunkedResponseInPiecesWithinTheLimitIsServedWhole(long pauseMs) {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 8; i++) {
      advance(pauseMs);
      receive("1\r\nx\r\n");
    }
    receive("0\r\n\r\n");
    assertEquals("xxxxxxxx", streamed.toString());
    assertEquals(List.of("OK"), ends);
  }

  /** It is looked at once in 250 ms, so that twice the limit is the latest time. */
  @Test
  void responseThatStopsIsGivenUpAsMalformed() {
    startAttempt();
    receive("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nx");
    advance(MAX_STALL_MS - 1);
    assertEquals(List.of(), ends);
    advance(MAX_STALL_MS + 1);
    assertEquals(List.of("MALFORMED_RESPONSE"), ends);
    assertTrue(!connection.isActive());
  }
}
