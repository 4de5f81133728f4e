package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;

/**
 * Many gateways at once, with fixed seeds: what one may do alone is multiplied by all, so the sums
 * count.
 */
class GatewayFleetTest {

  private final List<PolicyFixture> fleet = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(11);
  private final Map<String, Integer> asked = new HashMap<>();
  private int next;

  private void fleet(int gateways, int backends) {
    for (int i = 0; i < gateways; i++) {
      fleet.add(
          new PolicyFixture(PolicyFixture.settings(true, gateways, false, i)).backends(backends));
    }
  }

  /**
   * Lets the fleet take so many requests a second, evenly drawn, and hands each action to the
   * world.
   */
  private void run(
      double seconds, double perSecond, String plan, BiConsumer<PolicyFixture, Action> world) {
    double begin = fleet.get(0).now;
    int total = (int) (seconds * perSecond);
    for (int k = 0; k < total; k++) {
      double now = begin + 1000 * k / perSecond;
      PolicyFixture f = fleet.get(random.nextInt(fleet.size()));
      wake(f, now, world);
      int units = 1 + random.nextInt(4);
      asked.put("f" + next, units);
      f.on(
          new RequestReceived(
              "f" + next++, PolicyFixture.requestClass("safe"), plan, 42, fleet.size(), units, now + 4000));
      hand(f, world);
    }
    fleet.forEach(f -> wake(f, begin + 1000 * seconds, world));
  }

  private void wake(PolicyFixture f, double now, BiConsumer<PolicyFixture, Action> world) {
    for (double t = f.now + 25; t <= now; t += 25) {
      f.now = t;
      f.on(new TimerFired(Timer.REQUEST_CHECK));
      hand(f, world);
    }
    f.now = now;
  }

  private void hand(PolicyFixture f, BiConsumer<PolicyFixture, Action> world) {
    for (Action a : List.copyOf(f.lastActions)) {
      world.accept(f, a);
    }
  }

  private void answer(
      PolicyFixture f, StartAttempt s, Status status, BiConsumer<PolicyFixture, Action> world) {
    f.on(
        new AttemptEnded(
            s.requestId(), 0, s.endpointId(), status, 50, status == Status.OK, 0, null));
    hand(f, world);
  }

  // The counter falls silent. If every gateway probed it for itself, that would be hundreds of
  // calls
  // a second, and it could not come back.
  @Test
  void callsToASilentCounterAreBoundedForTheFleetAndComeBack() {
    fleet(300, 12);
    int[] calls = new int[1];
    boolean[] silent = {true};
    BiConsumer<PolicyFixture, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture f, Action a) {
            if (a instanceof IncrementCounter add) {
              calls[0]++;
              f.on(
                  new CounterReplied(
                      add.counterName(), silent[0] ? Status.TIMED_OUT : Status.OK, 1, 2));
              hand(f, this);
            } else if (a instanceof StartAttempt s) {
              answer(f, s, Status.OK, this);
            }
          }
        };
    run(20, 900, "rate-limited", world);
    calls[0] = 0;
    run(5, 900, "rate-limited", world);
    assertTrue(calls[0] > 0 && calls[0] < 5 * 300, calls[0] + " calls in 5 s");
    silent[0] = false;
    run(3, 900, "rate-limited-large", world);
    calls[0] = 0;
    run(2, 900, "rate-limited-large", world);
    assertTrue(calls[0] > 2 * 200, "calls are back within 3 s: " + calls[0] + " in 2 s");
  }

  // A backend restarts. If every gateway sent it one first request, hundreds would come at once
  // while
  // it warms up.
  @Test
  void aBackendThatIsWarmingUpIsNotOverloadedByTheFleet() {
    fleet(300, 60);
    int[] cold = new int[1];
    BiConsumer<PolicyFixture, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture f, Action a) {
            if (a instanceof StartAttempt s) {
              cold[0] += s.endpointId() == 7 ? 1 : 0;
              answer(f, s, Status.OK, this);
            }
          }
        };
    run(10, 600, "free", world);
    int warm = cold[0];
    cold[0] = 0;
    fleet.forEach(
        f ->
            f.on(
                new EndpointsUpdated(
                    EndpointListForm.DELTA,
                    List.of(new Endpoint(7, "b", 7, EndpointState.SERVING, 1, f.now)))));
    run(2, 600, "free", world);
    double share = 0.2 + 0.8 * 2 / 10;
    assertTrue(
        cold[0] <= 1.5 * share * warm / 5,
        cold[0] + " sent to a backend that is warming up, before that " + warm / 5);
  }

  // All backends fail after a quiet time. Retries that each gateway has saved up are few for one,
  // but
  // thousands for the fleet.
  @Test
  void retriesAreBoundedForTheFleet() {
    fleet(300, 60);
    int[] sent = new int[2];
    Map<String, Integer> attempts = new HashMap<>();
    BiConsumer<PolicyFixture, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture f, Action a) {
            if (a instanceof StartAttempt s) {
              int number = attempts.merge(s.requestId(), 1, Integer::sum) - 1;
              sent[number == 0 ? 0 : 1]++;
              f.on(
                  new AttemptEnded(
                      s.requestId(), number, s.endpointId(), Status.ERROR, 5, false, 0, null));
              hand(f, this);
            }
          }
        };
    run(10, 600, "free", world);
    assertTrue(sent[1] < 300 + 0.2 * sent[0], sent[1] + " retries for " + sent[0]);
    assertTrue(sent[1] > 0);
  }

  // The counter is away. Requests that each gateway admits by itself must not add up to far more
  // than
  // the quota.
  @Test
  void withoutACounterTheFleetKeepsToTheQuota() {
    fleet(100, 12);
    double[] units = new double[1];
    BiConsumer<PolicyFixture, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture f, Action a) {
            if (a instanceof IncrementCounter add) {
              f.on(new CounterReplied(add.counterName(), Status.REJECTED, 0, 2));
              hand(f, this);
            } else if (a instanceof StartAttempt s) {
              units[0] += asked.get(s.requestId());
              answer(f, s, Status.OK, this);
            }
          }
        };
    run(20, 100, "rate-limited-large", world);
    units[0] = 0;
    run(20, 100, "rate-limited-large", world);
    assertTrue(
        units[0] < 20 * PolicyFixture.RATE_LIMITED_LARGE.unitsPerSecond() * 1.3, units[0] + " units in 20 s");
    assertTrue(
        units[0] > 20 * PolicyFixture.RATE_LIMITED_LARGE.unitsPerSecond() * 0.4, units[0] + " units in 20 s");
  }

  // A concurrency limit is less than one for each gateway: all together must keep to it.
  @Test
  void openRequestsOfTheFleetKeepToTheConcurrencyLimit() {
    assertTrue(mostOpen(Status.OK) <= 2, "by the shared count");
    assertTrue(sent > 60, sent + " forwarded in 20 s, with permits for 160");
  }

  // The same while the counter is away: the rate at which requests can follow each other within the
  // limit is split evenly.
  @Test
  void withoutACounterOpenRequestsKeepToTheRateOfTheConcurrencyLimit() {
    mostOpen(Status.REJECTED);
    assertTrue(sent > 60 && sent < 240, sent + " forwarded in 20 s, with permits for 160");
  }

  private int sent;

  /** Ten gateways with a customer whose requests take 250 ms each: how many were open at once. */
  private int mostOpen(Status counter) {
    fleet(10, 12);
    Map<String, Double> counts = new HashMap<>();
    List<Map.Entry<PolicyFixture, StartAttempt>> open = new ArrayList<>();
    Map<String, Double> since = new HashMap<>();
    int[] most = new int[1];
    BiConsumer<PolicyFixture, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture f, Action a) {
            if (a instanceof IncrementCounter add) {
              double total =
                  counter == Status.OK
                      ? counts.merge(add.counterName(), add.amount(), Double::sum)
                      : 0;
              f.on(new CounterReplied(add.counterName(), counter, total, 2));
              hand(f, this);
            } else if (a instanceof StartAttempt s) {
              open.add(Map.entry(f, s));
              since.put(s.requestId(), f.now);
              sent++;
              most[0] = Math.max(most[0], open.size());
            }
          }
        };
    for (int i = 0; i < 800; i++) {
      run(0.025, 40, "concurrency-limited", world);
      for (Map.Entry<PolicyFixture, StartAttempt> e : List.copyOf(open)) {
        if (e.getKey().now - since.get(e.getValue().requestId()) >= 250) {
          open.remove(e);
          StartAttempt s = e.getValue();
          e.getKey()
              .on(
                  new AttemptEnded(
                      s.requestId(), 0, s.endpointId(), Status.OK, 250, true, 0, null));
          hand(e.getKey(), world);
        }
      }
    }
    return most[0];
  }

  @Test
  void theHardLimitHoldsThroughManyGatewaysAndThroughFew() {
    assertTrue(lowestOfCeiling(200) >= -PolicyFixture.HARD_LIMITED_LARGE.hardLimitSlackUnits());
    fleet.clear();
    assertTrue(lowestOfCeiling(3) >= -PolicyFixture.HARD_LIMITED_LARGE.hardLimitSlackUnits());
  }

  private double lowestOfCeiling(int gateways) {
    fleet(gateways, 12);
    Map<String, Double> counts = new HashMap<>();
    double[] store = {
      PolicyFixture.HARD_LIMITED_LARGE.hardLimitBurstUnits(), fleet.get(0).now, Double.MAX_VALUE, 0
    };
    BiConsumer<PolicyFixture, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture f, Action a) {
            if (a instanceof IncrementCounter add) {
              boolean fails = random.nextDouble() < 0.2;
              double total = counts.merge(add.counterName(), add.amount(), Double::sum);
              f.on(
                  new CounterReplied(
                      add.counterName(), fails ? Status.TIMED_OUT : Status.OK, total, 2));
              hand(f, this);
            } else if (a instanceof StartAttempt s) {
              double full =
                  store[0]
                      + PolicyFixture.HARD_LIMITED_LARGE.hardLimitUnitsPerSecond() * (f.now - store[1]) / 1000;
              store[0] =
                  Math.min(PolicyFixture.HARD_LIMITED_LARGE.hardLimitBurstUnits(), full)
                      - asked.get(s.requestId());
              store[1] = f.now;
              store[2] = Math.min(store[2], store[0]);
              store[3]++;
              answer(f, s, Status.OK, this);
            }
          }
        };
    run(30, 200, "hard-limited-large", world);
    assertTrue(store[3] > 30, "only " + store[3] + " sent through " + gateways);
    return store[2];
  }

  // Work and connections must not grow with the fleet: of a thousand backends few are used.
  @Test
  void aGatewayUsesASubsetOfManyBackendsAndAllOfFew() {
    assertTrue(used(300, 1000) <= 40, "of a thousand: " + used(300, 1000));
    assertEquals(10, used(3, 10));
  }

  private int used(int gateways, int backends) {
    PolicyFixture f =
        new PolicyFixture(PolicyFixture.settings(true, gateways, false)).backends(backends);
    Set<Long> seen = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      f.runFor(25).request("safe", "free", 1);
      if (f.did(StartAttempt.class)) {
        seen.add(f.only(StartAttempt.class).endpointId());
        f.outcome(f.only(StartAttempt.class), 0, Status.OK, true);
      }
    }
    return seen.size();
  }

  // The gateway itself stands still for a while. That is no latency of the backends, and responses
  // that came meanwhile are read before anything is cancelled or rejected.
  @Test
  void aStalledGatewayReadsFirstAndRejectsNobodyForIt() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 300, false)).backends(12);
    for (int round = 0; round < 10; round++) {
      f.runFor(25).request("safe", "free", 1);
      StartAttempt s = f.only(StartAttempt.class);
      f.runFor(25);
      f.pass(2000).on(new TimerFired(Timer.REQUEST_CHECK));
      assertFalse(f.did(CancelAttempt.class), "its response may lie unread");
      f.on(new AttemptEnded(s.requestId(), 0, s.endpointId(), Status.OK, 2020, true, 0, null));
      f.pass(1).on(new TimerFired(Timer.REQUEST_CHECK));
    }
    f.request("safe", "free", 1);
    assertTrue(f.did(StartAttempt.class));
  }

  // Responses get lost on their way while others come: that is no overload. A few slow backends
  // look
  // the same and stay unseen.
  @Test
  void lostResponsesAreNoOverload() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 300, false)).backends(12);
    for (int i = 0; i < 30; i++) {
      f.runFor(100).request("unsafe", "free", 1);
      StartAttempt lost = f.only(StartAttempt.class);
      f.runFor(100).request("safe", "free", 1);
      f.outcome(f.only(StartAttempt.class), 0, Status.OK, true);
      f.on(
          new AttemptEnded(
              lost.requestId(), 0, lost.endpointId(), Status.TIMED_OUT, 3900, false, 0, null));
    }
    f.runFor(50).request("safe", "free", 1);
    assertTrue(f.did(StartAttempt.class));
  }

  // Settings and events make no sense: each request still gets one final response, and nothing is
  // thrown.
  @Test
  void senselessSettingsAndEventsStillGetOneFinalResponse() {
    for (int gateways : new int[] {0, 1, 400}) {
      for (int entryPoints : new int[] {-1, 0, 1, 1000}) {
        PolicyFixture f =
            new PolicyFixture(PolicyFixture.settings(true, gateways, false)).backends(1000);
        int[] answers = new int[1];
        assertDoesNotThrow(
            () -> {
              f.on(
                  new RequestReceived(
                      "x", PolicyFixture.requestClass("safe"), "rate-limited", 5, entryPoints, 1, f.now + 4000));
              for (int i = 0; i < 500; i++) {
                answers[0] += f.did(RejectRequest.class) || f.did(FailRequest.class) ? 1 : 0;
                if (f.did(StartAttempt.class)) {
                  f.on(
                      new AttemptEnded(
                          "x",
                          0,
                          f.only(StartAttempt.class).endpointId(),
                          Status.OK,
                          1e9,
                          true,
                          0,
                          null));
                  answers[0]++;
                }
                f.runFor(10);
              }
              f.on(new CounterReplied("never asked", Status.OK, 3, 1));
              f.on(new AttemptEnded("never sent", 3, 1, Status.OK, 1, true, 0, null));
            });
        assertEquals(
            1, answers[0], gateways + " gateways, " + entryPoints + " gateways of the customer");
      }
    }
  }

  // A backend restarts, and the endpoint list does not know of it yet: refused connections mean
  // that
  // it is warming up.
  @Test
  void aBackendThatRefusesConnectionsIsTakenToBeWarmingUp() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 300, false)).backends(1);
    f.request("safe", "free", 1);
    f.outcome(f.only(StartAttempt.class), 0, Status.CONNECT_FAILED, false);
    f.runFor(9_000);
    int sent = 0;
    for (int i = 0; i < 40; i++) {
      f.runFor(25).request("safe", "free", 1);
      if (f.did(StartAttempt.class)) {
        sent++;
        f.outcome(f.only(StartAttempt.class), 0, Status.OK, true);
      }
    }
    assertTrue(sent < 20, sent + " of 40 started at once");
  }

  // Connections fail for another cause: a few of them must not have the whole fleet taken for
  // warming
  // up.
  @Test
  void aBackendThatAnswersEarlierAttemptsHasNotRestarted() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 2, false)).backends(1);
    f.request("safe", "free", 1);
    StartAttempt before = f.only(StartAttempt.class);
    f.pass(10).request("safe", "free", 1);
    StartAttempt failed = f.only(StartAttempt.class);
    f.pass(10).outcome(failed, 0, Status.CONNECT_FAILED, true);
    f.pass(10).outcome(before, 0, Status.OK, true);
    for (int i = 0; i < 40; i++) {
      f.runFor(25).request("safe", "free", 1);
      assertTrue(f.did(StartAttempt.class), "not sent at once: " + i);
      f.outcome(f.only(StartAttempt.class), 0, Status.OK, true);
    }
  }

  // A zone is lost. Failures there count for all of its backends, so that not each one has to be
  // found out by itself.
  @Test
  void anUnreachableZoneIsAvoidedAfterAFewFailures() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 300, false)).backends(200);
    int near = 0;
    int all = 0;
    for (int i = 0; i < 60; i++) {
      f.runFor(25).request("unsafe", "free", 1);
      StartAttempt s = f.only(StartAttempt.class);
      boolean lost = s.endpointId() % 2 == 1;
      near += i >= 20 && !lost ? 1 : 0;
      all += i >= 20 ? 1 : 0;
      f.outcome(s, 0, lost ? Status.RESET : Status.OK, !lost);
    }
    assertTrue(near > 0.85 * all, near + " of " + all + " to the zone that answers");
  }

  // One backend of a zone fails: a gateway must not avoid the whole zone for it.
  @Test
  void anErrorResponseShowsNothingOfTheZone() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 300, false)).backends(200);
    int near = 0;
    for (int i = 0; i < 60; i++) {
      f.runFor(4_000).request("unsafe", "free", 1);
      StartAttempt sick = f.only(StartAttempt.class);
      f.outcome(sick, 0, Status.ERROR, false);
      f.runFor(25).request("unsafe", "free", 1);
      StartAttempt next = f.only(StartAttempt.class);
      near += next.endpointId() % 2 == sick.endpointId() % 2 ? 1 : 0;
      f.outcome(next, 0, Status.OK, true);
    }
    assertTrue(near > 15, near + " of 60 to the zone of the sick backend");
  }

  // A request is slow while others in its zone are answered: the zone is not lost.
  @Test
  void aTimeOutShowsNothingOfAZoneThatAnswered() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 300, false)).backends(200);
    int near = 0;
    for (int i = 0; i < 60; i++) {
      f.runFor(4_000).request("unsafe", "free", 1);
      StartAttempt slow = f.only(StartAttempt.class);
      for (int k = 0; k < 6; k++) {
        f.runFor(25).request("unsafe", "free", 1);
        f.outcome(f.only(StartAttempt.class), 0, Status.OK, true);
      }
      f.runFor(2_000).outcome(slow, 0, Status.TIMED_OUT, false);
      f.runFor(25).request("unsafe", "free", 1);
      StartAttempt next = f.only(StartAttempt.class);
      near += next.endpointId() % 2 == slow.endpointId() % 2 ? 1 : 0;
      f.outcome(next, 0, Status.OK, true);
    }
    assertTrue(near > 22, near + " of 60 to the zone of the slow request");
  }

  // A zone comes back: responses of a few of its backends show it for all of them.
  @Test
  void aZoneThatIsReachableAgainIsUsedSoon() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 300, false)).backends(200);
    int near = 0;
    int all = 0;
    for (int i = 0; i < 200; i++) {
      f.runFor(300).request("unsafe", "free", 1);
      StartAttempt s = f.only(StartAttempt.class);
      boolean odd = s.endpointId() % 2 == 1;
      boolean lost = odd && i % 40 < 20;
      f.outcome(s, 0, lost ? Status.RESET : Status.OK, !lost);
      near += i % 40 >= 25 && odd ? 1 : 0;
      all += i % 40 >= 25 ? 1 : 0;
    }
    assertTrue(
        near > 0.48 * all, near + " of " + all + " to the zone that is back for 1.5 s and more");
  }

  // A customer's gateway restarts, or it comes through another one: what it has used stays used.
  @Test
  void aRestartedGatewayLearnsTheUsedQuotaFromTheCount() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rate-limited", 4);
    f.counterReplies(4);
    assertTrue(f.did(StartAttempt.class));
    PolicyFixture again =
        new PolicyFixture(PolicyFixture.settings(true, 2, false), f.now + 100).backends(4);
    again.request("safe", "rate-limited", 4);
    again.counterReplies(200);
    assertTrue(again.did(RejectRequest.class));
  }

  @Test
  void withoutBackendsEachRequestGetsOneFinalResponseInTime() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 300, false)).backends(0);
    f.request("safe", "free", 1);
    assertFalse(f.did(StartAttempt.class));
    f.runFor(3900);
    assertEquals(
        1,
        f.allActions.stream().filter(a -> a instanceof RejectRequest || a instanceof FailRequest).count());
  }
}
