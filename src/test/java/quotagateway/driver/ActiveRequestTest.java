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

/** One request's state between the policy, its client and its attempts. */
class ActiveRequestTest {

  private static final double NOW_MS = 1_000;

  private final HttpRequest head =
      new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/1");
  private final RequestBody body = RequestBody.of(Unpooled.EMPTY_BUFFER);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final AtomicInteger deadlines = new AtomicInteger();

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
        channel.eventLoop(), NOW_MS, deadlineAtMs, deadlines::incrementAndGet);
  }

  private int deadlinesAfterMs(long ms) {
    channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    return deadlines.get();
  }

  /** Two responses to one request would shift all later ones on the client's connection. */
  @Test
  void finalResponseIsClaimedOnce() {
    ActiveRequest request = request("r1");
    assertTrue(request.finish());
    assertFalse(request.finish());
    assertTrue(request.isFinished());
  }

  /**
   * The policy leaves a request unanswered: its client still gets an error, 6 ms before it leaves.
   */
  @Test
  void deadlineTimerFiresShortlyBeforeTheDeadlineOfTheClient() {
    startDeadlineTimer(request("r1"), NOW_MS + 100);
    assertEquals(0, deadlinesAfterMs(93));
    assertEquals(1, deadlinesAfterMs(1));
  }

  @Test
  void deadlineTimerFiresAtOnceWhereTheDeadlineIsPast() {
    startDeadlineTimer(request("r1"), NOW_MS - 1);
    assertEquals(1, deadlinesAfterMs(0));
  }

  @Test
  void finishedRequestHasNoDeadline() {
    ActiveRequest request = request("r1");
    startDeadlineTimer(request, NOW_MS + 100);
    request.finish();
    assertEquals(0, deadlinesAfterMs(1_000));
  }

  /** The policy gets one outcome of an attempt, however often it is cancelled. */
  @Test
  void cancelledAttemptHasOneOutcome() {
    ActiveRequest request = request("r1");
    List<Status> outcomes = new ArrayList<>();
    request.attemptStarted(attempt(outcomes));
    request.cancelUnwrittenAttempts();
    assertEquals(List.of(Status.NOT_SENT), outcomes);
    request.cancelAttempts();
    assertEquals(List.of(Status.NOT_SENT), outcomes);
  }

  @Test
  void attemptsAreFoundByTheirNumbers() {
    ActiveRequest request = request("r1");
    assertNull(request.lastAttemptInFlight());
    Attempt first = attempt(new ArrayList<>());
    request.attemptStarted(first);
    assertSame(first, request.attempt(0));
    assertNull(request.attempt(1));
    assertSame(first, request.lastAttemptInFlight());
    request.attemptEnded();
    assertNull(request.lastAttemptInFlight());
    assertEquals(1, request.attemptCount());
  }

  /**
   * A client disconnects while an attempt is in flight. Removed at once, its id could be used
   * again, and the attempt's outcome would be taken for the new request's.
   */
  @Test
  void requestIsRemovedOnceItIsFinishedAndHasNoAttemptInFlight() {
    ActiveRequests requests = new ActiveRequests();
    ActiveRequest request = request("r1");
    requests.add(request);
    request.attemptStarted(attempt(new ArrayList<>()));
    requests.removeIfOver(request);
    assertTrue(requests.contains("r1"), "it has no final response");
    request.finish();
    requests.removeIfOver(request);
    assertTrue(requests.contains("r1"), "its attempt is in flight");
    request.attemptEnded();
    requests.removeIfOver(request);
    assertEquals(0, requests.size());
  }

  @Test
  void removingARequestTwiceLeavesANewOneOfItsId() {
    ActiveRequests requests = new ActiveRequests();
    ActiveRequest earlier = request("r1");
    requests.add(earlier);
    earlier.finish();
    requests.removeIfOver(earlier);
    ActiveRequest later = request("r1");
    requests.add(later);
    requests.removeIfOver(earlier);
    assertSame(later, requests.get("r1"));
  }
}
