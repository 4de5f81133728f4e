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

/** Tests that two gateways together keep to a hard limit although their shared counter fails. */
class HardLimitFleetTest {

  private final Map<String, Double> counters = new HashMap<>();
  private double unitsLeft;
  private double refilledAtMs;
  private double fewestUnitsLeft;
  private int forwarded;
  private int requestUnits;

  @Test
  void hardLimitHoldsWithFailingCallsRestartsAndEmptiedCounters() {
    for (int seed = 0; seed < 40; seed++) {
      simulate(seed);
      assertTrue(
          fewestUnitsLeft >= -PolicyFixture.HARD_LIMITED.hardLimitSlackUnits(),
          "seed " + seed + ": fewest units left: " + fewestUnitsLeft);
      assertTrue(forwarded > 50, "seed " + seed + ": only " + forwarded + " requests forwarded");
    }
  }

  private void simulate(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    counters.clear();
    unitsLeft = PolicyFixture.HARD_LIMITED.hardLimitBurstUnits();
    fewestUnitsLeft = unitsLeft;
    refilledAtMs = 1_000_000;
    forwarded = 0;
    PolicyFixture[] gateways = new PolicyFixture[2];
    double failureShare = random.nextDouble();
    for (int step = 0; step < 3000; step++) {
      double now = 1_000_000 + step * 25.0;
      int index = random.nextInt(2);
      if (gateways[index] == null || random.nextDouble() < 0.001) {
        gateways[index] = new PolicyFixture(PolicyFixture.settings(true, 2, false), now);
        gateways[index].updateBackends(4);
      }
      if (random.nextDouble() < 0.002) {
        counters.clear();
      }
      gateways[index].now = now;
      requestUnits = 1 + random.nextInt(4);
      gateways[index].on(
          new RequestReceived(
              "s" + step,
              PolicyFixture.requestClass("safe"),
              "hard-limited",
              42,
              2,
              requestUnits,
              now + 4000));
      handleActions(
          gateways[index],
          gateways[index].lastActions,
          random,
          step % 400 < 200 ? failureShare : 0);
    }
  }

  private void handleActions(
      PolicyFixture gateway, List<Action> actions, SplittableRandom random, double failureShare) {
    for (Action action : actions) {
      if (action instanceof IncrementCounter increment) {
        boolean fails = random.nextDouble() < failureShare;
        boolean adds = !fails || random.nextBoolean();
        double total =
            adds ? counters.merge(increment.counterName(), increment.amount(), Double::sum) : 0;
        Status status = fails ? Status.TIMED_OUT : Status.OK;
        gateway.on(new CounterReplied(increment.counterName(), status, total, 2));
        handleActions(gateway, gateway.lastActions, random, failureShare);
      } else if (action instanceof StartAttempt start) {
        recordForwarded(gateway.now, gateway, start);
      }
    }
  }

  private void recordForwarded(double now, PolicyFixture gateway, StartAttempt start) {
    double refilledUnits =
        unitsLeft
            + PolicyFixture.HARD_LIMITED.hardLimitUnitsPerSecond() * (now - refilledAtMs) / 1000;
    unitsLeft = Math.min(PolicyFixture.HARD_LIMITED.hardLimitBurstUnits(), refilledUnits);
    refilledAtMs = now;
    unitsLeft -= requestUnits;
    fewestUnitsLeft = Math.min(fewestUnitsLeft, unitsLeft);
    forwarded++;
    gateway.on(
        new AttemptEnded(start.requestId(), 0, start.endpointId(), Status.OK, 50, true, 1, null));
  }
}
