package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Whether a zone or cell can be reached, from the attempts to it. */
class GroupReachabilityTest {

  private static final double NOW_MS = 1_000_000;

  private final GroupReachability group = new GroupReachability(NOW_MS);

  private void lose(double sentAtMs) {
    group.record(sentAtMs, false, true, NOW_MS);
  }

  @Test
  void countsEachLossByAFifth() {
    lose(NOW_MS);
    assertEquals(0.2, group.lossShare(NOW_MS), 1e-12);
    lose(NOW_MS);
    assertEquals(0.36, group.lossShare(NOW_MS), 1e-12);
  }

  // A backend that hangs must not cost its whole zone: others there answer meanwhile.
  @Test
  void countsNoLossOfAnAttemptSentBeforeTheLastResponse() {
    group.record(NOW_MS - 50, true, false, NOW_MS);
    lose(NOW_MS - 1);
    assertEquals(0, group.lossShare(NOW_MS));
    lose(NOW_MS);
    assertEquals(0.2, group.lossShare(NOW_MS), 1e-12);
  }

  // An error is a response: the way to the group works, whatever the backend does.
  @Test
  void halvesTheShareWithEachResponseEvenOfAnError() {
    lose(NOW_MS);
    group.record(NOW_MS, true, true, NOW_MS);
    assertEquals(0.1, group.lossShare(NOW_MS), 1e-12);
  }

  // Nobody sends to a zone that is taken for lost, so only time can bring it back.
  @Test
  void fadesWithoutAttempts() {
    lose(NOW_MS);
    assertEquals(0.2 * Math.exp(-1), group.lossShare(NOW_MS + 4_000), 1e-12);
  }

  @Test
  void ignoresWhatIsNeitherResponseNorFailure() {
    group.record(NOW_MS, false, false, NOW_MS);
    assertTrue(group.lossShare(NOW_MS) == 0);
  }
}
