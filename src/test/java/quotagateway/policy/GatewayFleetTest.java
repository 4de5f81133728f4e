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
 * Tests the combined behavior of many gateways, with fixed seeds. A limit that is harmless for one
 * gateway is multiplied by the size of the fleet, so these tests check fleet-wide totals.
 */
class GatewayFleetTest {

  private final List<PolicyFixture> fleet = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(11);
  private final Map<String, Integer> requestedUnits = new HashMap<>();
  private int nextRequestNumber;

  private void createFleet(int gateways, int backends) {
    for (int i = 0; i < gateways; i++) {
      fleet.add(
          new PolicyFixture(PolicyFixture.settings(true, gateways, false, i))
              .updateBackends(backends));
    }
  }

  /**
   * Sends requests to randomly drawn gateways of the fleet, at a constant rate, and passes each
   * action to the simulated environment.
   */
  private void sendRequests(
      double seconds,
      double perSecond,
      String plan,
      BiConsumer<PolicyFixture, Action> environment) {
    double begin = fleet.get(0).now;
    int total = (int) (seconds * perSecond);
    for (int k = 0; k < total; k++) {
      double now = begin + 1000 * k / perSecond;
      PolicyFixture gateway = fleet.get(random.nextInt(fleet.size()));
      advanceTo(gateway, now, environment);
      int units = 1 + random.nextInt(4);
      requestedUnits.put("f" + nextRequestNumber, units);
      gateway.on(
          new RequestReceived(
              "f" + nextRequestNumber++,
              PolicyFixture.requestClass("safe"),
              plan,
              42,
              fleet.size(),
              units,
              now + 4000));
      handleActions(gateway, environment);
    }
    fleet.forEach(gateway -> advanceTo(gateway, begin + 1000 * seconds, environment));
  }

  private void advanceTo(
      PolicyFixture gateway, double now, BiConsumer<PolicyFixture, Action> environment) {
    for (double t = gateway.now + 25; t <= now; t += 25) {
      gateway.now = t;
      gateway.on(new TimerFired(Timer.REQUEST_CHECK));
      handleActions(gateway, environment);
    }
    gateway.now = now;
  }

  private void handleActions(PolicyFixture gateway, BiConsumer<PolicyFixture, Action> environment) {
    for (Action action : List.copyOf(gateway.lastActions)) {
      environment.accept(gateway, action);
    }
  }

  private void endAttempt(
      PolicyFixture gateway,
      StartAttempt start,
      Status status,
      BiConsumer<PolicyFixture, Action> environment) {
    gateway.on(
        new AttemptEnded(
            start.requestId(), 0, start.endpointId(), status, 50, status == Status.OK, 0, null));
    handleActions(gateway, environment);
  }

  /**
   * The counter stops replying. If every gateway probed it independently, hundreds of calls a
   * second would prevent it from recovering.
   */
  @Test
  void limitsFleetWideCallsToSilentCounterAndResumesThem() {
    createFleet(300, 12);
    int[] calls = new int[1];
    boolean[] silent = {true};
    BiConsumer<PolicyFixture, Action> environment =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture gateway, Action action) {
            if (action instanceof IncrementCounter increment) {
              calls[0]++;
              gateway.on(
                  new CounterReplied(
                      increment.counterName(), silent[0] ? Status.TIMED_OUT : Status.OK, 1, 2));
              handleActions(gateway, this);
            } else if (action instanceof StartAttempt start) {
              endAttempt(gateway, start, Status.OK, this);
            }
          }
        };
    sendRequests(20, 900, "rate-limited", environment);
    calls[0] = 0;
    sendRequests(5, 900, "rate-limited", environment);
    assertTrue(calls[0] > 0 && calls[0] < 5 * 300, calls[0] + " calls in 5 s");
    silent[0] = false;
    sendRequests(3, 900, "rate-limited-large", environment);
    calls[0] = 0;
    sendRequests(2, 900, "rate-limited-large", environment);
    assertTrue(calls[0] > 2 * 200, "calls did not resume within 3 s: " + calls[0] + " in 2 s");
  }

  /**
   * A backend restarts. If every gateway sent it a first request, it would receive hundreds of
   * requests at once while it warms up.
   */
  @Test
  void fleetDoesNotOverloadBackendThatIsWarmingUp() {
    createFleet(300, 60);
    int[] attemptsAtRestarted = new int[1];
    BiConsumer<PolicyFixture, Action> environment =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture gateway, Action action) {
            if (action instanceof StartAttempt start) {
              attemptsAtRestarted[0] += start.endpointId() == 7 ? 1 : 0;
              endAttempt(gateway, start, Status.OK, this);
            }
          }
        };
    sendRequests(10, 600, "free", environment);
    int attemptsBefore = attemptsAtRestarted[0];
    attemptsAtRestarted[0] = 0;
    fleet.forEach(
        gateway ->
            gateway.on(
                new EndpointsUpdated(
                    EndpointListForm.DELTA,
                    List.of(new Endpoint(7, "b", 7, EndpointState.SERVING, 1, gateway.now)))));
    sendRequests(2, 600, "free", environment);
    double share = 0.2 + 0.8 * 2 / 10;
    assertTrue(
        attemptsAtRestarted[0] <= 1.5 * share * attemptsBefore / 5,
        attemptsAtRestarted[0]
            + " attempts at a backend that is warming up, before its restart "
            + attemptsBefore / 5);
  }

  /**
   * All backends fail after a period without failures. The retries that one gateway has saved up
   * are few, but those of the fleet are thousands.
   */
  @Test
  void limitsFleetWideRetriesWhenAllBackendsFail() {
    createFleet(300, 60);
    int[] sent = new int[2];
    Map<String, Integer> attempts = new HashMap<>();
    BiConsumer<PolicyFixture, Action> environment =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture gateway, Action action) {
            if (action instanceof StartAttempt start) {
              int number = attempts.merge(start.requestId(), 1, Integer::sum) - 1;
              sent[number == 0 ? 0 : 1]++;
              gateway.on(
                  new AttemptEnded(
                      start.requestId(),
                      number,
                      start.endpointId(),
                      Status.ERROR,
                      5,
                      false,
                      0,
                      null));
              handleActions(gateway, this);
            }
          }
        };
    sendRequests(10, 600, "free", environment);
    assertTrue(sent[1] < 300 + 0.2 * sent[0], sent[1] + " retries for " + sent[0]);
    assertTrue(sent[1] > 0);
  }

  /**
   * The counter is unavailable. The requests that each gateway admits by its own decision must not
   * add up to far more than the quota.
   */
  @Test
  void fleetKeepsToQuotaWithoutCounter() {
    createFleet(100, 12);
    double[] units = new double[1];
    BiConsumer<PolicyFixture, Action> environment =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture gateway, Action action) {
            if (action instanceof IncrementCounter increment) {
              gateway.on(new CounterReplied(increment.counterName(), Status.REJECTED, 0, 2));
              handleActions(gateway, this);
            } else if (action instanceof StartAttempt start) {
              units[0] += requestedUnits.get(start.requestId());
              endAttempt(gateway, start, Status.OK, this);
            }
          }
        };
    sendRequests(20, 100, "rate-limited-large", environment);
    units[0] = 0;
    sendRequests(20, 100, "rate-limited-large", environment);
    assertTrue(
        units[0] < 20 * PolicyFixture.RATE_LIMITED_LARGE.unitsPerSecond() * 1.3,
        units[0] + " units in 20 s");
    assertTrue(
        units[0] > 20 * PolicyFixture.RATE_LIMITED_LARGE.unitsPerSecond() * 0.4,
        units[0] + " units in 20 s");
  }

  /** The concurrency limit is lower than the number of gateways, which must keep to it together. */
  @Test
  void openRequestsOfFleetKeepToConcurrencyLimit() {
    assertTrue(maxOpenRequests(Status.OK) <= 2, "limit of the shared counter exceeded");
    assertTrue(sent > 60, sent + " forwarded in 20 s, with permits for 160");
  }

  /**
   * While the counter is unavailable, the gateways split evenly the rate at which requests can
   * follow each other within the concurrency limit.
   */
  @Test
  void fleetKeepsToRateOfConcurrencyLimitWithoutCounter() {
    maxOpenRequests(Status.REJECTED);
    assertTrue(sent > 60 && sent < 240, sent + " forwarded in 20 s, with permits for 160");
  }

  private int sent;

  /**
   * Returns the highest number of concurrently open requests of a customer over ten gateways, if
   * each request takes 250 ms.
   */
  private int maxOpenRequests(Status counter) {
    createFleet(10, 12);
    Map<String, Double> counts = new HashMap<>();
    List<Map.Entry<PolicyFixture, StartAttempt>> open = new ArrayList<>();
    Map<String, Double> startedAtMs = new HashMap<>();
    int[] maxOpen = new int[1];
    BiConsumer<PolicyFixture, Action> environment =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture gateway, Action action) {
            if (action instanceof IncrementCounter increment) {
              double total =
                  counter == Status.OK
                      ? counts.merge(increment.counterName(), increment.amount(), Double::sum)
                      : 0;
              gateway.on(new CounterReplied(increment.counterName(), counter, total, 2));
              handleActions(gateway, this);
            } else if (action instanceof StartAttempt start) {
              open.add(Map.entry(gateway, start));
              startedAtMs.put(start.requestId(), gateway.now);
              sent++;
              maxOpen[0] = Math.max(maxOpen[0], open.size());
            }
          }
        };
    for (int i = 0; i < 800; i++) {
      sendRequests(0.025, 40, "concurrency-limited", environment);
      for (Map.Entry<PolicyFixture, StartAttempt> entry : List.copyOf(open)) {
        if (entry.getKey().now - startedAtMs.get(entry.getValue().requestId()) >= 250) {
          open.remove(entry);
          StartAttempt start = entry.getValue();
          entry
              .getKey()
              .on(
                  new AttemptEnded(
                      start.requestId(), 0, start.endpointId(), Status.OK, 250, true, 0, null));
          handleActions(entry.getKey(), environment);
        }
      }
    }
    return maxOpen[0];
  }

  @Test
  void hardLimitHoldsForLargeAndSmallFleets() {
    assertTrue(
        fewestHardLimitUnits(200) >= -PolicyFixture.HARD_LIMITED_LARGE.hardLimitSlackUnits());
    fleet.clear();
    assertTrue(fewestHardLimitUnits(3) >= -PolicyFixture.HARD_LIMITED_LARGE.hardLimitSlackUnits());
  }

  private double fewestHardLimitUnits(int gateways) {
    createFleet(gateways, 12);
    Map<String, Double> counts = new HashMap<>();
    double[] hardLimit = {
      PolicyFixture.HARD_LIMITED_LARGE.hardLimitBurstUnits(), fleet.get(0).now, Double.MAX_VALUE, 0
    };
    BiConsumer<PolicyFixture, Action> environment =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyFixture gateway, Action action) {
            if (action instanceof IncrementCounter increment) {
              boolean fails = random.nextDouble() < 0.2;
              double total = counts.merge(increment.counterName(), increment.amount(), Double::sum);
              gateway.on(
                  new CounterReplied(
                      increment.counterName(), fails ? Status.TIMED_OUT : Status.OK, total, 2));
              handleActions(gateway, this);
            } else if (action instanceof StartAttempt start) {
              double refilledUnits =
                  hardLimit[0]
                      + PolicyFixture.HARD_LIMITED_LARGE.hardLimitUnitsPerSecond()
                          * (gateway.now - hardLimit[1])
                          / 1000;
              hardLimit[0] =
                  Math.min(PolicyFixture.HARD_LIMITED_LARGE.hardLimitBurstUnits(), refilledUnits)
                      - requestedUnits.get(start.requestId());
              hardLimit[1] = gateway.now;
              hardLimit[2] = Math.min(hardLimit[2], hardLimit[0]);
              hardLimit[3]++;
              endAttempt(gateway, start, Status.OK, this);
            }
          }
        };
    sendRequests(30, 200, "hard-limited-large", environment);
    assertTrue(hardLimit[3] > 30, "only " + hardLimit[3] + " sent through " + gateways);
    return hardLimit[2];
  }

  /** Work and connections must not grow with the number of backends. */
  @Test
  void gatewayUsesSubsetOfManyBackendsAndAllOfFew() {
    assertTrue(
        countUsedBackends(300, 1000) <= 40,
        "backends used of 1000: " + countUsedBackends(300, 1000));
    assertEquals(10, countUsedBackends(3, 10));
  }

  private int countUsedBackends(int gateways, int backends) {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, gateways, false)).updateBackends(backends);
    Set<Long> endpointIds = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      gateway.runFor(25).request("safe", "free", 1);
      if (gateway.hasAction(StartAttempt.class)) {
        endpointIds.add(gateway.lastActionOfType(StartAttempt.class).endpointId());
        gateway.endAttempt(gateway.lastActionOfType(StartAttempt.class), 0, Status.OK, true);
      }
    }
    return endpointIds.size();
  }

  /**
   * The gateway itself stalls. The stall does not count as latency of the backends, and the gateway
   * reads responses that arrived during the stall before it cancels or rejects any request.
   */
  @Test
  void doesNotCancelOrRejectRequestsForOwnStall() {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 300, false)).updateBackends(12);
    for (int round = 0; round < 10; round++) {
      gateway.runFor(25).request("safe", "free", 1);
      StartAttempt start = gateway.lastActionOfType(StartAttempt.class);
      gateway.runFor(25);
      gateway.advanceClock(2000).on(new TimerFired(Timer.REQUEST_CHECK));
      assertFalse(
          gateway.hasAction(CancelAttempt.class), "the response may not have been read yet");
      gateway.on(
          new AttemptEnded(
              start.requestId(), 0, start.endpointId(), Status.OK, 2020, true, 0, null));
      gateway.advanceClock(1).on(new TimerFired(Timer.REQUEST_CHECK));
    }
    gateway.request("safe", "free", 1);
    assertTrue(gateway.hasAction(StartAttempt.class));
  }

  /**
   * Some responses are lost while others arrive, which is no sign of overload. The drawback is that
   * a few slow backends look the same and are not detected.
   */
  @Test
  void lostResponsesDoNotCountAsOverload() {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 300, false)).updateBackends(12);
    for (int i = 0; i < 30; i++) {
      gateway.runFor(100).request("unsafe", "free", 1);
      StartAttempt lost = gateway.lastActionOfType(StartAttempt.class);
      gateway.runFor(100).request("safe", "free", 1);
      gateway.endAttempt(gateway.lastActionOfType(StartAttempt.class), 0, Status.OK, true);
      gateway.on(
          new AttemptEnded(
              lost.requestId(), 0, lost.endpointId(), Status.TIMED_OUT, 3900, false, 0, null));
    }
    gateway.runFor(50).request("safe", "free", 1);
    assertTrue(gateway.hasAction(StartAttempt.class));
  }

  /**
   * With invalid settings and events, each request still gets one final response, and the policy
   * throws no exception.
   */
  @Test
  void eachRequestGetsOneFinalResponseDespiteInvalidSettingsAndEvents() {
    for (int gateways : new int[] {0, 1, 400}) {
      for (int gatewaysOfCustomer : new int[] {-1, 0, 1, 1000}) {
        PolicyFixture gateway =
            new PolicyFixture(PolicyFixture.settings(true, gateways, false)).updateBackends(1000);
        int[] finalResponses = new int[1];
        assertDoesNotThrow(
            () -> {
              gateway.on(
                  new RequestReceived(
                      "x",
                      PolicyFixture.requestClass("safe"),
                      "rate-limited",
                      5,
                      gatewaysOfCustomer,
                      1,
                      gateway.now + 4000));
              for (int i = 0; i < 500; i++) {
                finalResponses[0] +=
                    gateway.hasAction(RejectRequest.class) || gateway.hasAction(FailRequest.class)
                        ? 1
                        : 0;
                if (gateway.hasAction(StartAttempt.class)) {
                  gateway.on(
                      new AttemptEnded(
                          "x",
                          0,
                          gateway.lastActionOfType(StartAttempt.class).endpointId(),
                          Status.OK,
                          1e9,
                          true,
                          0,
                          null));
                  finalResponses[0]++;
                }
                gateway.runFor(10);
              }
              gateway.on(new CounterReplied("unknown counter", Status.OK, 3, 1));
              gateway.on(new AttemptEnded("unknown request", 3, 1, Status.OK, 1, true, 0, null));
            });
        assertEquals(
            1,
            finalResponses[0],
            gateways + " gateways, " + gatewaysOfCustomer + " gateways of the customer");
      }
    }
  }

  /**
   * A backend restarts before the endpoint list shows the restart. Refused connections indicate
   * that the backend is warming up.
   */
  @Test
  void treatsBackendThatRefusesConnectionsAsWarmingUp() {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 300, false)).updateBackends(1);
    gateway.request("safe", "free", 1);
    gateway.endAttempt(
        gateway.lastActionOfType(StartAttempt.class), 0, Status.CONNECT_FAILED, false);
    gateway.runFor(9_000);
    int sent = 0;
    for (int i = 0; i < 40; i++) {
      gateway.runFor(25).request("safe", "free", 1);
      if (gateway.hasAction(StartAttempt.class)) {
        sent++;
        gateway.endAttempt(gateway.lastActionOfType(StartAttempt.class), 0, Status.OK, true);
      }
    }
    assertTrue(sent < 20, sent + " of 40 requests forwarded immediately");
  }

  /**
   * Connections fail for a reason other than a restart. A few such failures must not make the
   * gateway treat all backends as warming up.
   */
  @Test
  void doesNotTreatBackendThatAnswersEarlierAttemptAsRestarted() {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 2, false)).updateBackends(1);
    gateway.request("safe", "free", 1);
    StartAttempt before = gateway.lastActionOfType(StartAttempt.class);
    gateway.advanceClock(10).request("safe", "free", 1);
    StartAttempt failed = gateway.lastActionOfType(StartAttempt.class);
    gateway.advanceClock(10).endAttempt(failed, 0, Status.CONNECT_FAILED, true);
    gateway.advanceClock(10).endAttempt(before, 0, Status.OK, true);
    for (int i = 0; i < 40; i++) {
      gateway.runFor(25).request("safe", "free", 1);
      assertTrue(gateway.hasAction(StartAttempt.class), "not forwarded immediately: request " + i);
      gateway.endAttempt(gateway.lastActionOfType(StartAttempt.class), 0, Status.OK, true);
    }
  }

  /**
   * A zone becomes unreachable. Failures count for all backends of the zone, so that the gateway
   * does not have to detect each backend separately.
   */
  @Test
  void avoidsUnreachableZoneAfterFewFailures() {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 300, false)).updateBackends(200);
    int matching = 0;
    int all = 0;
    for (int i = 0; i < 60; i++) {
      gateway.runFor(25).request("unsafe", "free", 1);
      StartAttempt start = gateway.lastActionOfType(StartAttempt.class);
      boolean lost = start.endpointId() % 2 == 1;
      matching += i >= 20 && !lost ? 1 : 0;
      all += i >= 20 ? 1 : 0;
      gateway.endAttempt(start, 0, lost ? Status.RESET : Status.OK, !lost);
    }
    assertTrue(matching > 0.85 * all, matching + " of " + all + " requests to the reachable zone");
  }

  /** If one backend of a zone fails, a gateway must not avoid the entire zone. */
  @Test
  void errorResponsesDoNotCountAgainstZone() {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 300, false)).updateBackends(200);
    int matching = 0;
    for (int i = 0; i < 60; i++) {
      gateway.runFor(4_000).request("unsafe", "free", 1);
      StartAttempt failing = gateway.lastActionOfType(StartAttempt.class);
      gateway.endAttempt(failing, 0, Status.ERROR, false);
      gateway.runFor(25).request("unsafe", "free", 1);
      StartAttempt next = gateway.lastActionOfType(StartAttempt.class);
      matching += next.endpointId() % 2 == failing.endpointId() % 2 ? 1 : 0;
      gateway.endAttempt(next, 0, Status.OK, true);
    }
    assertTrue(matching > 15, matching + " of 60 requests to the zone of the failing backend");
  }

  /** If one request is slow while others in its zone are answered, the zone is reachable. */
  @Test
  void timeoutDoesNotCountAgainstZoneThatAnsweredSince() {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 300, false)).updateBackends(200);
    int matching = 0;
    for (int i = 0; i < 60; i++) {
      gateway.runFor(4_000).request("unsafe", "free", 1);
      StartAttempt slow = gateway.lastActionOfType(StartAttempt.class);
      for (int k = 0; k < 6; k++) {
        gateway.runFor(25).request("unsafe", "free", 1);
        gateway.endAttempt(gateway.lastActionOfType(StartAttempt.class), 0, Status.OK, true);
      }
      gateway.runFor(2_000).endAttempt(slow, 0, Status.TIMED_OUT, false);
      gateway.runFor(25).request("unsafe", "free", 1);
      StartAttempt next = gateway.lastActionOfType(StartAttempt.class);
      matching += next.endpointId() % 2 == slow.endpointId() % 2 ? 1 : 0;
      gateway.endAttempt(next, 0, Status.OK, true);
    }
    assertTrue(matching > 22, matching + " of 60 requests to the zone of the slow request");
  }

  /** Responses from a few backends of a recovered zone are enough to use the entire zone again. */
  @Test
  void usesZoneSoonAfterItIsReachableAgain() {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 300, false)).updateBackends(200);
    int matching = 0;
    int all = 0;
    for (int i = 0; i < 200; i++) {
      gateway.runFor(300).request("unsafe", "free", 1);
      StartAttempt start = gateway.lastActionOfType(StartAttempt.class);
      boolean odd = start.endpointId() % 2 == 1;
      boolean lost = odd && i % 40 < 20;
      gateway.endAttempt(start, 0, lost ? Status.RESET : Status.OK, !lost);
      matching += i % 40 >= 25 && odd ? 1 : 0;
      all += i % 40 >= 25 ? 1 : 0;
    }
    assertTrue(
        matching > 0.48 * all,
        matching
            + " of "
            + all
            + " requests to the zone that has been reachable for at least 1.5 s");
  }

  /**
   * A customer that has used its quota does not get a fresh one when its gateway restarts or when
   * it uses another gateway.
   */
  @Test
  void restartedGatewayReadsUsedQuotaFromCounter() {
    PolicyFixture gateway = PolicyFixture.withCounterAndBackends();
    gateway.request("safe", "rate-limited", 4);
    gateway.counterReplies(4);
    assertTrue(gateway.hasAction(StartAttempt.class));
    PolicyFixture again =
        new PolicyFixture(PolicyFixture.settings(true, 2, false), gateway.now + 100)
            .updateBackends(4);
    again.request("safe", "rate-limited", 4);
    again.counterReplies(200);
    assertTrue(again.hasAction(RejectRequest.class));
  }

  @Test
  void requestGetsOneFinalResponseInTimeWithoutBackends() {
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 300, false)).updateBackends(0);
    gateway.request("safe", "free", 1);
    assertFalse(gateway.hasAction(StartAttempt.class));
    gateway.runFor(3900);
    assertEquals(
        1,
        gateway.allActions.stream()
            .filter(action -> action instanceof RejectRequest || action instanceof FailRequest)
            .count());
  }
}
