package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When an attempt looks lost. */
class AttemptRecordTest {

  private static final double PATIENCE_MS = 600;
  private static final double SENT_MS = RoutingFixture.START_MS + 100;

  private final BackendStatus backend = RoutingFixture.of(2, 4).backend(0);
  private final AttemptRecord attempt = new AttemptRecord(0, backend, SENT_MS);

  private boolean looksLost(double afterMs) {
    return attempt.looksLost(PATIENCE_MS, SENT_MS + afterMs);
  }

  @Test
  void looksLostAtASilentBackendOnceItHasWaitedLongerThanUsual() {
    assertFalse(looksLost(PATIENCE_MS));
    assertTrue(looksLost(PATIENCE_MS + 1));
  }

  // The backend works, so the attempt is in its queue: another one elsewhere gains little.
  @Test
  void doesNotLookLostAtABackendThatAnswersOthers() {
    backend.recordResponse(new AttemptRecord(1, backend, SENT_MS - 1), SENT_MS + 1);
    assertFalse(looksLost(PATIENCE_MS + 1));
  }

  // A response that was lost on its way: the backend has long answered what came much later.
  @Test
  void looksLostWhenAnAttemptSentMuchLaterWasAnswered() {
    backend.recordResponse(new AttemptRecord(1, backend, SENT_MS + PATIENCE_MS), SENT_MS + 700);
    assertFalse(looksLost(701));
    backend.recordResponse(new AttemptRecord(2, backend, SENT_MS + PATIENCE_MS + 1), SENT_MS + 701);
    assertTrue(looksLost(702));
  }

  @Test
  void waitsFromTheLastByteOfItsRequest() {
    attempt.bodyComplete(SENT_MS + 500);
    assertFalse(looksLost(PATIENCE_MS + 500));
    assertTrue(looksLost(PATIENCE_MS + 501));
  }
}
