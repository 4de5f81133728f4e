package quotagateway.driver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import quotagateway.backend.Attempt;
import quotagateway.backend.RequestBody;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;

/** Tests the state and deadline timer of an active request, and its removal. */
class ActiveRequestTest {

  private static final double NOW_MS = 1_000;

  private final HttpRequest head =
      new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/1");
  private final RequestBody body = RequestBody.of(Unpooled.EMPTY_BUFFER);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final AtomicInteger deadlineCount = new AtomicInteger();

  private ActiveRequest request(String id) {
    return new ActiveRequest(
        new RequestReceived(id, null, "basic", 1, 1, 1, Double.POSITIVE_INFINITY),
        head,
        body,
        null);
  }

  private Attempt attempt(List<Status> outcomes) {
    return new Attempt(head, body, 100) {
      @Override
      public void onEnd(Status status, FullHttpResponse response) {
        outcomes.add(status);
      }
    };
  }

  private void startDeadlineTimer(ActiveRequest request, double deadlineAtMs) {
    channel.freezeTime();
    request.startDeadlineTimer(
        channel.eventLoop(), NOW_MS, deadlineAtMs, deadlineCount::incrementAndGet);
  }

  private int deadlineCountAfterMs(long ms) {
    channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    return deadlineCount.get();
  }

  /**
   * A second response to one request would be read as the response to the next request on the
   * client's connection.
   */
  @Test
  void claimsFinalResponseOnlyOnce() {
    ActiveRequest request = request("r1");
    assertTrue(request.finish());
    assertFalse(request.finish());
    assertTrue(request.isFinished());
  }

  /**
   * The policy leaves a request unanswered. The timer fires 6 ms before the client's deadline, so
   * that the client still gets an error response.
   */
  @Test
  void firesDeadlineTimerSixMsBeforeClientDeadline() {
    startDeadlineTimer(request("r1"), NOW_MS + 100);
    assertEquals(0, deadlineCountAfterMs(93));
    assertEquals(1, deadlineCountAfterMs(1));
  }

  @Test
  void firesDeadlineTimerImmediatelyIfDeadlineHasPassed() {
    startDeadlineTimer(request("r1"), NOW_MS - 1);
    assertEquals(1, deadlineCountAfterMs(0));
  }

  @Test
  void cancelsDeadlineTimerWhenRequestFinishes() {
    ActiveRequest request = request("r1");
    startDeadlineTimer(request, NOW_MS + 100);
    request.finish();
    assertEquals(0, deadlineCountAfterMs(1_000));
  }

  /** An attempt that is cancelled twice reports only one outcome to the policy. */
  @Test
  void reportsOneOutcomeForAttemptCancelledTwice() {
    ActiveRequest request = request("r1");
    List<Status> outcomes = new ArrayList<>();
    request.onAttemptStarted(attempt(outcomes));
    request.cancelUnwrittenAttempts();
    assertEquals(List.of(Status.NOT_SENT), outcomes);
    request.cancelAttempts();
    assertEquals(List.of(Status.NOT_SENT), outcomes);
  }

  @Test
  void findsAttemptByNumberAndLastAttemptInFlight() {
    ActiveRequest request = request("r1");
    assertNull(request.lastAttemptInFlight());
    Attempt first = attempt(new ArrayList<>());
    request.onAttemptStarted(first);
    assertSame(first, request.attempt(0));
    assertNull(request.attempt(1));
    assertSame(first, request.lastAttemptInFlight());
    request.onAttemptEnded(Status.OK);
    assertNull(request.lastAttemptInFlight());
    assertEquals(1, request.attemptCount());
  }

  /**
   * A client disconnects while an attempt is in flight. If the request were removed immediately, a
   * new request could reuse its id, and the attempt's outcome would be attributed to that request.
   */
  @Test
  void removesRequestOnlyWhenFinishedWithNoAttemptInFlight() {
    ActiveRequests requests = new ActiveRequests();
    ActiveRequest request = request("r1");
    requests.add(request);
    request.onAttemptStarted(attempt(new ArrayList<>()));
    requests.removeIfComplete(request);
    assertTrue(requests.contains("r1"), "the request has no final response");
    request.finish();
    requests.removeIfComplete(request);
    assertTrue(requests.contains("r1"), "the attempt is in flight");
    request.onAttemptEnded(Status.OK);
    requests.removeIfComplete(request);
    assertEquals(0, requests.size());
  }

  @Test
  void removingRequestTwiceKeepsNewRequestWithSameId() {
    ActiveRequests requests = new ActiveRequests();
    ActiveRequest earlier = request("r1");
    requests.add(earlier);
    earlier.finish();
    requests.removeIfComplete(earlier);
    ActiveRequest later = request("r1");
    requests.add(later);
    requests.removeIfComplete(earlier);
    assertSame(later, requests.get("r1"));
  }
}
