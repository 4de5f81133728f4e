package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;

/** Several gateways against one count that fails in every way: the hard limit must hold. */
class HardLimitFleetTest {

  private final Map<String, Double> counts = new HashMap<>();
  private double unitsLeft;
  private double refilledAtMs;
  private double fewestUnitsLeft;
  private int forwarded;
  private int units;

  @Test
  void holdsWithFailingCallsRestartsAndEmptiedCounts() {
    for (int seed = 0; seed < 40; seed++) {
      play(seed);
      assertTrue(
          fewestUnitsLeft >= -PolicyFixture.HARD_LIMITED.hardLimitSlackUnits(),
          "seed " + seed + ": units left: " + fewestUnitsLeft);
      assertTrue(forwarded > 50, "seed " + seed + ": only " + forwarded + " forwarded");
    }
  }

  private void play(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    counts.clear();
    unitsLeft = PolicyFixture.HARD_LIMITED.hardLimitBurstUnits();
    fewestUnitsLeft = unitsLeft;
    refilledAtMs = 1_000_000;
    forwarded = 0;
    PolicyFixture[] gateways = new PolicyFixture[2];
    double failureShare = random.nextDouble();
    for (int step = 0; step < 3000; step++) {
      double now = 1_000_000 + step * 25.0;
      int i = random.nextInt(2);
      if (gateways[i] == null || random.nextDouble() < 0.001) {
        gateways[i] = new PolicyFixture(PolicyFixture.settings(true, 2, false), now);
        gateways[i].backends(4);
      }
      if (random.nextDouble() < 0.002) {
        counts.clear();
      }
      gateways[i].now = now;
      units = 1 + random.nextInt(4);
      gateways[i].on(
          new RequestReceived(
              "s" + step, PolicyFixture.requestClass("safe"), "hard-limited", 42, 2, units, now + 4000));
      answer(gateways[i], gateways[i].lastActions, random, step % 400 < 200 ? failureShare : 0);
    }
  }

  private void answer(
      PolicyFixture gateway, List<Action> actions, SplittableRandom random, double failureShare) {
    for (Action action : actions) {
      if (action instanceof IncrementCounter a) {
        boolean fails = random.nextDouble() < failureShare;
        boolean adds = !fails || random.nextBoolean();
        double total = adds ? counts.merge(a.counterName(), a.amount(), Double::sum) : 0;
        Status status = fails ? Status.TIMED_OUT : Status.OK;
        gateway.on(new CounterReplied(a.counterName(), status, total, 2));
        answer(gateway, gateway.lastActions, random, failureShare);
      } else if (action instanceof StartAttempt s) {
        recordUse(gateway.now, gateway, s);
      }
    }
  }

  private void recordUse(double now, PolicyFixture gateway, StartAttempt s) {
    double filled =
        unitsLeft
            + PolicyFixture.HARD_LIMITED.hardLimitUnitsPerSecond() * (now - refilledAtMs) / 1000;
    unitsLeft = Math.min(PolicyFixture.HARD_LIMITED.hardLimitBurstUnits(), filled);
    refilledAtMs = now;
    unitsLeft -= units;
    fewestUnitsLeft = Math.min(fewestUnitsLeft, unitsLeft);
    forwarded++;
    gateway.on(new AttemptEnded(s.requestId(), 0, s.endpointId(), Status.OK, 50, true, 1, null));
  }
}
