package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the loss share of a zone or cell, computed from the outcomes of attempts. */
class GroupReachabilityTest {

  private static final double NOW_MS = 1_000_000;

  private final GroupReachability group = new GroupReachability(NOW_MS);

  private void recordLoss(double sentAtMs) {
    group.record(sentAtMs, false, true, NOW_MS);
  }

  @Test
  void weightsEachLossByOneFifth() {
    recordLoss(NOW_MS);
    assertEquals(0.2, group.lossShare(NOW_MS), 1e-12);
    recordLoss(NOW_MS);
    assertEquals(0.36, group.lossShare(NOW_MS), 1e-12);
  }

  // A stuck backend must not make its zone look unreachable while other backends there respond.
  @Test
  void ignoresLossOfAttemptSentBeforeLatestResponse() {
    group.record(NOW_MS - 50, true, false, NOW_MS);
    recordLoss(NOW_MS - 1);
    assertEquals(0, group.lossShare(NOW_MS));
    recordLoss(NOW_MS);
    assertEquals(0.2, group.lossShare(NOW_MS), 1e-12);
  }

  // An error is a response, which shows that the group can be reached.
  @Test
  void halvesLossShareOnEachResponseIncludingErrors() {
    recordLoss(NOW_MS);
    group.record(NOW_MS, true, true, NOW_MS);
    assertEquals(0.1, group.lossShare(NOW_MS), 1e-12);
  }

  // A zone that is considered unreachable gets no attempts, so its loss share must decay with time.
  @Test
  void decaysWithoutAttempts() {
    recordLoss(NOW_MS);
    assertEquals(0.2 * Math.exp(-1), group.lossShare(NOW_MS + 4_000), 1e-12);
  }

  @Test
  void ignoresOutcomeThatIsNeitherResponseNorFailure() {
    group.record(NOW_MS, false, false, NOW_MS);
    assertTrue(group.lossShare(NOW_MS) == 0);
  }
}
