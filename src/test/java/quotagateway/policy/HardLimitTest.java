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

/** Several gateways against one count that fails in every way: the ceiling's store must hold. */
class HardLimitTest {

  private final Map<String, Double> counts = new HashMap<>();
  private double store;
  private double storeAt;
  private double lowest;
  private int sent;
  private int units;

  @Test
  void holdsWithFailingCallsRestartsAndEmptiedCounts() {
    for (int seed = 0; seed < 40; seed++) {
      play(seed);
      assertTrue(
          lowest >= -PolicyFixture.HARD_LIMITED.hardLimitSlackUnits(),
          "seed " + seed + ": store at " + lowest);
      assertTrue(sent > 50, "seed " + seed + ": only " + sent + " sent");
    }
  }

  private void play(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    counts.clear();
    lowest = store = PolicyFixture.HARD_LIMITED.hardLimitBurstUnits();
    storeAt = 1_000_000;
    sent = 0;
    PolicyFixture[] gateways = new PolicyFixture[2];
    double trouble = random.nextDouble();
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
              "s" + step, PolicyFixture.type("safe"), "ceiled", 42, 2, units, now + 4000));
      answer(gateways[i], gateways[i].last, random, step % 400 < 200 ? trouble : 0);
    }
  }

  private void answer(
      PolicyFixture gateway, List<Action> actions, SplittableRandom random, double trouble) {
    for (Action action : actions) {
      if (action instanceof IncrementCounter a) {
        boolean fails = random.nextDouble() < trouble;
        boolean adds = !fails || random.nextBoolean();
        double total = adds ? counts.merge(a.counterName(), a.amount(), Double::sum) : 0;
        Status status = fails ? Status.TIMED_OUT : Status.OK;
        gateway.on(new CounterReplied(a.counterName(), status, total, 2));
        answer(gateway, gateway.last, random, trouble);
      } else if (action instanceof StartAttempt s) {
        take(gateway.now, gateway, s);
      }
    }
  }

  private void take(double now, PolicyFixture gateway, StartAttempt s) {
    double filled =
        store + PolicyFixture.HARD_LIMITED.hardLimitUnitsPerSecond() * (now - storeAt) / 1000;
    store = Math.min(PolicyFixture.HARD_LIMITED.hardLimitBurstUnits(), filled);
    storeAt = now;
    store -= units;
    lowest = Math.min(lowest, store);
    sent++;
    gateway.on(new AttemptEnded(s.requestId(), 0, s.endpointId(), Status.OK, 50, true, 1, null));
  }
}
