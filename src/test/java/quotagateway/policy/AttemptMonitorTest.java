package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.CancelReason;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.event.RequestBodyStalled;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.ResponseProgress;
import quotagateway.policy.event.Status;

/** Tests which attempts the whole policy cancels for their waits. */
class AttemptMonitorTest {

  private static final double STALL_MS = 1_600;

  private final PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
  private int uploads;

  private StartAttempt request() {
    fixture.request("safe", "free", 1);
    return fixture.lastActionOfType(StartAttempt.class);
  }

  private StartAttempt upload() {
    String id = "u" + uploads++;
    fixture.on(
        new RequestReceived(
                id, PolicyFixture.requestClass("unsafe"), "free", 42, 2, 1, fixture.now + 4_000)
            .withoutDeadline());
    return fixture.lastActionOfType(StartAttempt.class);
  }

  private boolean isUploadCancelled(StartAttempt upload) {
    fixture.on(new RequestBodyStalled(upload.requestId(), STALL_MS));
    return fixture.hasAction(CancelAttempt.class);
  }

  @Test
  void uploadIsCancelledIfItsBackendTakesNothing() {
    StartAttempt upload = upload();
    fixture.advanceClock(STALL_MS);
    fixture.on(new RequestBodyStalled(upload.requestId(), STALL_MS));
    assertEquals(
        new CancelAttempt(upload.requestId(), 0, CancelReason.BODY_STALLED),
        fixture.lastActionOfType(CancelAttempt.class));
  }

  /** It was rejected after 0.4 of its time wherever all backends paused for as long. */
  @Test
  void uploadIsAwaitedIfNoOtherBackendAnswersEither() {
    StartAttempt upload = upload();
    StartAttempt other = upload();
    while (other.endpointId() == upload.endpointId()) {
      other = upload();
    }
    fixture.advanceClock(STALL_MS);
    assertFalse(isUploadCancelled(upload));
    StartAttempt prompt = request();
    fixture.endAttempt(prompt, 0, Status.OK, true);
    boolean sameBackend = prompt.endpointId() == upload.endpointId();
    assertEquals(!sameBackend, isUploadCancelled(upload), "another backend answers");
  }

  @Test
  void uploadIsAwaitedIfItsBackendAnswersOthersMeanwhile() {
    fixture.updateBackends(1);
    StartAttempt upload = upload();
    fixture.advanceClock(STALL_MS);
    StartAttempt other = request();
    assertTrue(isUploadCancelled(upload));
    fixture.endAttempt(other, 0, Status.OK, true);
    assertFalse(isUploadCancelled(upload));
  }

  /** The second attempt of each had less time than the first, and failed where that sufficed. */
  @Test
  void silentAttemptIsAwaitedIfOtherBackendsAreAsSilent() {
    request();
    request();
    fixture.runFor(1_500);
    assertFalse(fixture.hasAction(CancelAttempt.class));
    fixture.endAttempt(request(), 0, Status.OK, true).runFor(25);
    assertTrue(fixture.hasAction(CancelAttempt.class), "another backend answers");
  }

  /** A trickling response was cancelled as if nothing of it had come. */
  @Test
  void attemptWhoseResponseHasBegunIsNotCancelledAsLost() {
    StartAttempt start = request();
    fixture.on(new ResponseProgress(start.requestId(), 0, false)).runFor(3_000);
    assertFalse(fixture.hasAction(CancelAttempt.class));
  }

  @Test
  void stalledResponseIsReplacedOnceAndThenAwaited() {
    fixture.endAttempt(request(), 0, Status.OK, true);
    StartAttempt start = request();
    fixture.advanceClock(250);
    fixture.on(new ResponseProgress(start.requestId(), 0, true)).runFor(25);
    assertEquals(
        new CancelAttempt(start.requestId(), 0, CancelReason.RESPONSE_STALLED),
        fixture.lastActionOfType(CancelAttempt.class));
    fixture.endAttempt(start, 0, Status.RESPONSE_STALLED, false);
    StartAttempt second = fixture.lastActionOfType(StartAttempt.class);
    assertTrue(second.endpointId() != start.endpointId());
    fixture.advanceClock(250);
    fixture.on(new ResponseProgress(start.requestId(), 1, true)).runFor(3_500);
    assertFalse(fixture.hasAction(CancelAttempt.class));
  }

  @Test
  void stalledResponseIsAwaitedOnceAnotherStallHasEndedByItself() {
    StartAttempt slow = request();
    fixture.on(new ResponseProgress(slow.requestId(), 0, true)).advanceClock(900);
    fixture.on(new ResponseProgress(slow.requestId(), 0, false));
    fixture.endAttempt(slow, 0, Status.OK, true);
    StartAttempt start = request();
    fixture.on(new ResponseProgress(start.requestId(), 0, true)).runFor(3_500);
    assertFalse(fixture.hasAction(CancelAttempt.class));
  }

  /** Each attempt waited for the connect timeout alike, until none was left. */
  @Test
  void secondConnectionIsAwaitedIfNoBackendHasRespondedMeanwhile() {
    StartAttempt first = request();
    assertFalse(first.awaitConnection());
    fixture.advanceClock(250).endAttempt(first, 0, Status.CONNECT_FAILED, false);
    assertTrue(fixture.lastActionOfType(StartAttempt.class).awaitConnection());
  }

  @Test
  void secondConnectionIsNotAwaitedIfAnotherBackendResponds() {
    StartAttempt first = request();
    fixture.endAttempt(request(), 0, Status.OK, true);
    fixture.advanceClock(250).endAttempt(first, 0, Status.CONNECT_FAILED, false);
    assertFalse(fixture.lastActionOfType(StartAttempt.class).awaitConnection());
  }

  @Test
  void connectionBehindARefusedOneIsNotAwaited() {
    StartAttempt first = request();
    fixture.advanceClock(1).endAttempt(first, 0, Status.CONNECT_FAILED, false);
    assertFalse(fixture.lastActionOfType(StartAttempt.class).awaitConnection());
  }
}
