package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.LoadReport;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.ServiceRules;

/**
 * A simulated fleet of gateways before backends of one core each, some of which restart. A cold
 * backend falls when all gateways together send it more than N + 2 sqrt(N) + 2 requests within the
 * span of the rules, N being the tip multiple of what it can do in that span.
 */
class SlowStartTest {

  private static final double SERVICE_MS = 100;
  private static final double STEP_MS = 5;
  private static final double WARM_UP_MS = 10_000;
  private static final ServiceRules USUAL = PolicyFixture.settings(true, 1, false).rules();

  /** A short span and a long way to warm: gateways could save up more than a span bears. */
  private static final ServiceRules SLOW_TO_WARM = new ServiceRules(8, 0.1, 60_000, 2, 1_000);

  /** A backend that works on one request at a time. */
  private static final class SimulatedBackend {
    final ArrayDeque<Double> sentWithinSpan = new ArrayDeque<>();
    double startedMs;
    double freeAt;
    double highestShareOfBound;
  }

  private record Answer(double at, PolicyFixture gateway, AttemptEnded outcome) {}

  private ServiceRules rules = USUAL;
  private double load;
  private final SplittableRandom random = new SplittableRandom(5);
  private final List<PolicyFixture> gateways = new ArrayList<>();
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final PriorityQueue<Answer> answers =
      new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
  private final Map<String, Integer> attempts = new HashMap<>();
  private double now = 1_000_000;
  private double due;
  private int requests;
  private int next;
  private int served;

  /**
   * What the scenarios vary: the first gateway's part of the traffic, their restarts, class,
   * errors.
   */
  private double partOfFirst;

  private double restartsPerSecond;
  private String type = "safe";
  private double errors;

  /** A fleet of so many gateways, which uses two thirds of what its backends can do. */
  private void fleet(int size, int number) {
    load = number * 1000 / SERVICE_MS * 2 / 3;
    for (int i = 0; i < number; i++) {
      backends.add(new SimulatedBackend());
    }
    for (int i = 0; i < size; i++) {
      gateways.add(gateway(i, size));
    }
  }

  private PolicyFixture gateway(int number, int size) {
    PolicyFixture gateway = new PolicyFixture(settings(size, number), now);
    return gateway.on(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, entries()));
  }

  private PolicySettings settings(int size, int number) {
    PolicySettings s = PolicyFixture.settings(true, size, false, number);
    return new PolicySettings(
        size,
        number,
        s.zone(),
        s.maxRequestUnits(),
        s.crossZonePrice(),
        s.endpointWeightsTold(),
        s.requestClasses(),
        s.plans(),
        s.capabilities(),
        rules);
  }

  private List<Endpoint> entries() {
    List<Endpoint> entries = new ArrayList<>();
    for (int i = 0; i < backends.size(); i++) {
      entries.add(
          new Endpoint(
              i,
              i % 2 == 0 ? "a" : "b",
              i / 4,
              EndpointState.SERVING,
              1,
              backends.get(i).startedMs));
    }
    return entries;
  }

  /** These backends restart, which loses what they held, and all gateways are told at once. */
  private void restart(List<Integer> numbers) {
    numbers.forEach(
        i -> {
          backends.get(i).startedMs = now;
          backends.get(i).freeAt = now;
        });
    List<Answer> lost =
        answers.stream().filter(a -> numbers.contains((int) a.outcome().endpointId())).toList();
    answers.removeAll(lost);
    gateways.forEach(
        g -> g.pass(now - g.now).on(new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries())));
    lost.forEach(
        a -> {
          AttemptEnded o = a.outcome();
          a.gateway()
              .on(
                  new AttemptEnded(
                      o.requestId(),
                      o.attempt(),
                      o.endpointId(),
                      Status.RESET,
                      20,
                      false,
                      0,
                      null));
          hand(a.gateway());
        });
  }

  /** Lets time go by; the load is in requests a second, by the time since the begin. */
  private void run(double ms, DoubleUnaryOperator load) {
    double begin = now;
    while (now < begin + ms) {
      now += STEP_MS;
      while (!answers.isEmpty() && answers.peek().at() <= now) {
        Answer a = answers.poll();
        served += a.outcome().requestFinished() ? 1 : 0;
        a.gateway().pass(now - a.gateway().now).on(a.outcome());
        hand(a.gateway());
      }
      if (random.nextDouble() < restartsPerSecond * STEP_MS / 1000) {
        restartGateway(random.nextInt(gateways.size()));
      }
      for (due += load.applyAsDouble(now - begin) * STEP_MS / 1000; due >= 1; due--) {
        boolean first = random.nextDouble() < partOfFirst;
        request(gateways.get(first ? 0 : random.nextInt(gateways.size())));
      }
      for (PolicyFixture g : gateways) {
        if (now - begin >= 25 && (now - begin) % 25 < STEP_MS) {
          g.pass(now - g.now).on(new TimerFired(Timer.REQUEST_CHECK));
          hand(g);
        }
      }
    }
  }

  /** It forgets all; its clients hear nothing of what it held. */
  private void restartGateway(int number) {
    PolicyFixture before = gateways.get(number);
    answers.removeIf(a -> a.gateway() == before);
    gateways.set(number, gateway(number, gateways.size()));
  }

  private void request(PolicyFixture gateway) {
    String id = "q" + next++;
    requests++;
    gateway
        .pass(now - gateway.now)
        .on(
            new RequestReceived(
                id, PolicyFixture.requestClass(type), "free", next, gateways.size(), 1, now + 4000));
    hand(gateway);
  }

  private void hand(PolicyFixture gateway) {
    for (Action a : List.copyOf(gateway.lastActions)) {
      if (a instanceof StartAttempt s) {
        take(gateway, s, backends.get((int) s.endpointId()));
      }
    }
  }

  private void take(PolicyFixture gateway, StartAttempt send, SimulatedBackend b) {
    int attempt = attempts.merge(send.requestId(), 1, Integer::sum) - 1;
    double share = share(b);
    if (b.startedMs > 0) {
      count(b, share);
    }
    b.freeAt = Math.max(now, b.freeAt) + SERVICE_MS / share;
    boolean fails = random.nextDouble() < errors;
    answers.add(
        new Answer(
            b.freeAt,
            gateway,
            new AttemptEnded(
                send.requestId(),
                attempt,
                send.endpointId(),
                fails ? Status.ERROR : Status.OK,
                b.freeAt - now,
                !fails,
                0,
                new LoadReport((b.freeAt - now) * share / SERVICE_MS, SERVICE_MS / share))));
  }

  private double share(SimulatedBackend b) {
    return b.startedMs == 0
        ? 1
        : Math.min(
            1,
            rules.warmUpInitialShare()
                + (1 - rules.warmUpInitialShare()) * (now - b.startedMs) / rules.warmUpMs());
  }

  private void count(SimulatedBackend b, double share) {
    b.sentWithinSpan.add(now);
    while (b.sentWithinSpan.peek() <= now - rules.overloadWindowMs()) {
      b.sentWithinSpan.poll();
    }
    double allowed = rules.overloadMultiple() * share * rules.overloadWindowMs() / SERVICE_MS;
    double bound = allowed + 2 * Math.sqrt(allowed) + 2;
    if (share < 1) {
      b.highestShareOfBound = Math.max(b.highestShareOfBound, b.sentWithinSpan.size() / bound);
    }
  }

  /**
   * So many of its backends restart; what they bear must hold, and so much of the requests be
   * served.
   */
  private void assertNoneFalls(int size, int cold, double leastServed, DoubleUnaryOperator load) {
    run(WARM_UP_MS, t -> this.load);
    requests = 0;
    served = 0;
    restart(IntStream.range(0, cold).boxed().toList());
    run(Math.min(rules.warmUpMs(), 20_000), load);
    String fleet = size + " gateways, " + cold + " cold of " + backends.size() + ": ";
    double highest = backends.stream().mapToDouble(b -> b.highestShareOfBound).max().orElse(0);
    double part = served / (double) requests;
    assertTrue(highest > 0 && highest <= 1, fleet + highest + " of what a cold backend bears");
    assertTrue(part >= leastServed, fleet + part + " served");
  }

  // Guards against an allowance of each gateway that is harmless alone and too much in all.
  @ParameterizedTest
  @CsvSource({
    "20, 1, 0.9",
    "30, 1, 0.9",
    "20, 5, 0.8",
    "30, 5, 0.8",
    "20, 19, 0.5",
    "30, 19, 0.5",
    "20, 20, 0.4",
    "30, 20, 0.4"
  })
  void bearsWhatAFleetSends(int size, int cold, double leastServed) {
    fleet(size, 20);
    assertNoneFalls(size, cold, leastServed, t -> load);
  }

  // Guards the same where one gateway has four fifths of the traffic: the others' parts are not its
  // own.
  @ParameterizedTest
  @CsvSource({
    "20, 1, 0.75",
    "30, 1, 0.75",
    "20, 5, 0.65",
    "30, 5, 0.65",
    "20, 19, 0.4",
    "30, 19, 0.4"
  })
  void bearsWhatAFleetWithUnevenTrafficSends(int size, int cold, double leastServed) {
    partOfFirst = 0.8;
    fleet(size, 20);
    assertNoneFalls(size, cold, leastServed, t -> load);
  }

  // Guards the same where each gateway restarts every four seconds or so, and forgets what it has
  // sent.
  @ParameterizedTest
  @ValueSource(ints = {20, 30})
  void bearsWhatGatewaysSendThatForget(int size) {
    restartsPerSecond = size / 4.0;
    fleet(size, 20);
    assertNoneFalls(size, 10, 0.5, t -> load);
  }

  // Guards repeats that must stay in one cell, where only cold backends are left; one in five
  // fails.
  @ParameterizedTest
  @CsvSource({"20, cell", "30, cell", "20, zone", "30, zone"})
  void bearsRepeatsThatMayGoNowhereElse(int size, String type) {
    this.type = type;
    errors = 0.2;
    fleet(size, 20);
    assertNoneFalls(size, 8, 0.6, t -> load);
  }

  // Guards against tokens that every gateway has saved in a quiet time, and uses in the same
  // moment.
  @ParameterizedTest
  @ValueSource(ints = {20, 30, 100})
  void bearsABurstAfterAQuietTime(int size) {
    rules = SLOW_TO_WARM;
    fleet(size, 6);
    assertNoneFalls(size, 6, 0.1, t -> t < 15_000 ? 2 : 3 * load);
  }
}
