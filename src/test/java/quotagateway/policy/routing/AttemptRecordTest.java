package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when an attempt looks lost. */
class AttemptRecordTest {

  private static final double LOSS_TIMEOUT_MS = 600;
  private static final double SENT_MS = RoutingFixture.START_MS + 100;

  private final BackendStatus backend = RoutingFixture.of(2, 4).backend(0);
  private final AttemptRecord attempt = new AttemptRecord(0, backend, SENT_MS);

  private boolean looksLost(double afterMs) {
    return attempt.looksLost(LOSS_TIMEOUT_MS, SENT_MS + afterMs);
  }

  @Test
  void looksLostAfterLossTimeoutIfBackendHasNotResponded() {
    assertFalse(looksLost(LOSS_TIMEOUT_MS));
    assertTrue(looksLost(LOSS_TIMEOUT_MS + 1));
  }

  // The backend works, so the attempt is in its queue; another attempt elsewhere would gain little.
  @Test
  void doesNotLookLostIfBackendRespondsToOtherAttempts() {
    backend.recordResponse(new AttemptRecord(1, backend, SENT_MS - 1), SENT_MS + 1);
    assertFalse(looksLost(LOSS_TIMEOUT_MS + 1));
  }

  // The response was lost on its way: the backend has answered an attempt that was sent much later.
  @Test
  void looksLostIfAttemptSentMuchLaterWasAnswered() {
    backend.recordResponse(new AttemptRecord(1, backend, SENT_MS + LOSS_TIMEOUT_MS), SENT_MS + 700);
    assertFalse(looksLost(701));
    backend.recordResponse(
        new AttemptRecord(2, backend, SENT_MS + LOSS_TIMEOUT_MS + 1), SENT_MS + 701);
    assertTrue(looksLost(702));
  }

  @Test
  void measuresWaitFromLastByteOfRequest() {
    attempt.markBodyComplete(SENT_MS + 500);
    assertFalse(looksLost(LOSS_TIMEOUT_MS + 500));
    assertTrue(looksLost(LOSS_TIMEOUT_MS + 501));
  }
}
