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
 * Tests slow start with a simulated fleet of gateways and with backends of one core each, some of
 * which restart. A cold backend fails if all gateways together send it more than N + 2 sqrt(N) + 2
 * requests within the overload window, where N is the overload multiple times the number of
 * requests that the backend can serve in that window.
 */
class SlowStartTest {

  private static final double SERVICE_MS = 100;
  private static final double STEP_MS = 5;
  private static final double WARM_UP_MS = 10_000;
  private static final ServiceRules USUAL = PolicyFixture.settings(true, 1, false).rules();

  /**
   * Rules with a short overload window and a long warm-up, under which gateways could save up more
   * requests than a cold backend can accept within one window.
   */
  private static final ServiceRules SLOW_TO_WARM = new ServiceRules(8, 0.1, 60_000, 2, 1_000);

  /** A backend that processes one request at a time. */
  private static final class SimulatedBackend {
    final ArrayDeque<Double> sentWithinWindow = new ArrayDeque<>();
    double startedMs;
    double freeAt;
    double highestShareOfBound;
  }

  private record PendingOutcome(double at, PolicyFixture gateway, AttemptEnded outcome) {}

  private ServiceRules rules = USUAL;
  private double load;
  private final SplittableRandom random = new SplittableRandom(5);
  private final List<PolicyFixture> gateways = new ArrayList<>();
  private final List<SimulatedBackend> backends = new ArrayList<>();
  private final PriorityQueue<PendingOutcome> pendingOutcomes =
      new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
  private final Map<String, Integer> attempts = new HashMap<>();
  private double now = 1_000_000;
  private double dueRequests;
  private int requests;
  private int requestNumber;
  private int served;

  /** Probability that a request goes to the first gateway instead of a randomly drawn one. */
  private double firstGatewayShare;

  private double restartsPerSecond;
  private String requestClass = "safe";
  private double errorShare;

  /** Creates gateways and backends, and sets the load to two thirds of the backends' capacity. */
  private void createFleet(int gatewayCount, int backendCount) {
    load = backendCount * 1000 / SERVICE_MS * 2 / 3;
    for (int i = 0; i < backendCount; i++) {
      backends.add(new SimulatedBackend());
    }
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(createGateway(i, gatewayCount));
    }
  }

  private PolicyFixture createGateway(int index, int gatewayCount) {
    PolicyFixture gateway = new PolicyFixture(settings(gatewayCount, index), now);
    return gateway.on(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, entries()));
  }

  private PolicySettings settings(int gatewayCount, int gatewayIndex) {
    PolicySettings s = PolicyFixture.settings(true, gatewayCount, false, gatewayIndex);
    return new PolicySettings(
        gatewayCount,
        gatewayIndex,
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

  /** Restarts backends, which lose their requests, and informs all gateways immediately. */
  private void restartBackends(List<Integer> indices) {
    indices.forEach(
        i -> {
          backends.get(i).startedMs = now;
          backends.get(i).freeAt = now;
        });
    List<PendingOutcome> lost =
        pendingOutcomes.stream()
            .filter(pending -> indices.contains((int) pending.outcome().endpointId()))
            .toList();
    pendingOutcomes.removeAll(lost);
    gateways.forEach(
        g ->
            g.advanceClock(now - g.now)
                .on(new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries())));
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
          handleActions(a.gateway());
        });
  }

  /**
   * Runs the simulation; the load maps the time since the start of the run to requests a second.
   */
  private void simulate(double ms, DoubleUnaryOperator load) {
    double begin = now;
    while (now < begin + ms) {
      now += STEP_MS;
      while (!pendingOutcomes.isEmpty() && pendingOutcomes.peek().at() <= now) {
        PendingOutcome pending = pendingOutcomes.poll();
        served += pending.outcome().requestFinished() ? 1 : 0;
        pending.gateway().advanceClock(now - pending.gateway().now).on(pending.outcome());
        handleActions(pending.gateway());
      }
      if (random.nextDouble() < restartsPerSecond * STEP_MS / 1000) {
        restartGateway(random.nextInt(gateways.size()));
      }
      for (dueRequests += load.applyAsDouble(now - begin) * STEP_MS / 1000;
          dueRequests >= 1;
          dueRequests--) {
        boolean useFirst = random.nextDouble() < firstGatewayShare;
        request(gateways.get(useFirst ? 0 : random.nextInt(gateways.size())));
      }
      for (PolicyFixture g : gateways) {
        if (now - begin >= 25 && (now - begin) % 25 < STEP_MS) {
          g.advanceClock(now - g.now).on(new TimerFired(Timer.REQUEST_CHECK));
          handleActions(g);
        }
      }
    }
  }

  /** Restarts a gateway, which loses its state; clients get no response to its open requests. */
  private void restartGateway(int index) {
    PolicyFixture before = gateways.get(index);
    pendingOutcomes.removeIf(pending -> pending.gateway() == before);
    gateways.set(index, createGateway(index, gateways.size()));
  }

  private void request(PolicyFixture gateway) {
    String id = "q" + requestNumber++;
    requests++;
    gateway
        .advanceClock(now - gateway.now)
        .on(
            new RequestReceived(
                id,
                PolicyFixture.requestClass(requestClass),
                "free",
                requestNumber,
                gateways.size(),
                1,
                now + 4000));
    handleActions(gateway);
  }

  private void handleActions(PolicyFixture gateway) {
    for (Action action : List.copyOf(gateway.lastActions)) {
      if (action instanceof StartAttempt start) {
        serve(gateway, start, backends.get((int) start.endpointId()));
      }
    }
  }

  private void serve(PolicyFixture gateway, StartAttempt start, SimulatedBackend backend) {
    int attempt = attempts.merge(start.requestId(), 1, Integer::sum) - 1;
    double capacityShare = capacityShare(backend);
    if (backend.startedMs > 0) {
      recordSent(backend, capacityShare);
    }
    backend.freeAt = Math.max(now, backend.freeAt) + SERVICE_MS / capacityShare;
    boolean fails = random.nextDouble() < errorShare;
    pendingOutcomes.add(
        new PendingOutcome(
            backend.freeAt,
            gateway,
            new AttemptEnded(
                start.requestId(),
                attempt,
                start.endpointId(),
                fails ? Status.ERROR : Status.OK,
                backend.freeAt - now,
                !fails,
                0,
                new LoadReport(
                    (backend.freeAt - now) * capacityShare / SERVICE_MS,
                    SERVICE_MS / capacityShare))));
  }

  private double capacityShare(SimulatedBackend backend) {
    return backend.startedMs == 0
        ? 1
        : Math.min(
            1,
            rules.warmUpInitialShare()
                + (1 - rules.warmUpInitialShare()) * (now - backend.startedMs) / rules.warmUpMs());
  }

  private void recordSent(SimulatedBackend backend, double capacityShare) {
    backend.sentWithinWindow.add(now);
    while (backend.sentWithinWindow.peek() <= now - rules.overloadWindowMs()) {
      backend.sentWithinWindow.poll();
    }
    double allowed =
        rules.overloadMultiple() * capacityShare * rules.overloadWindowMs() / SERVICE_MS;
    double bound = allowed + 2 * Math.sqrt(allowed) + 2;
    if (capacityShare < 1) {
      backend.highestShareOfBound =
          Math.max(backend.highestShareOfBound, backend.sentWithinWindow.size() / bound);
    }
  }

  /**
   * Restarts backends and asserts that none of them is overloaded and that at least the given
   * fraction of the requests is served.
   */
  private void assertNoOverload(
      int gatewayCount, int coldBackends, double minServedShare, DoubleUnaryOperator load) {
    simulate(WARM_UP_MS, t -> this.load);
    requests = 0;
    served = 0;
    restartBackends(IntStream.range(0, coldBackends).boxed().toList());
    simulate(Math.min(rules.warmUpMs(), 20_000), load);
    String fleet =
        gatewayCount + " gateways, " + coldBackends + " cold backends of " + backends.size() + ": ";
    double highest =
        backends.stream().mapToDouble(backend -> backend.highestShareOfBound).max().orElse(0);
    double servedShare = served / (double) requests;
    assertTrue(
        highest > 0 && highest <= 1,
        fleet + highest + " of the load that a cold backend withstands");
    assertTrue(servedShare >= minServedShare, fleet + servedShare + " of the requests served");
  }

  /** Guards against an allowance that is harmless for one gateway but too high over the fleet. */
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
  void fleetDoesNotOverloadColdBackends(int gatewayCount, int coldBackends, double minServedShare) {
    createFleet(gatewayCount, 20);
    assertNoOverload(gatewayCount, coldBackends, minServedShare, t -> load);
  }

  /**
   * Guards against overload if one gateway gets about four fifths of the traffic and must not use
   * the other gateways' shares of the allowance.
   */
  @ParameterizedTest
  @CsvSource({
    "20, 1, 0.75",
    "30, 1, 0.75",
    "20, 5, 0.65",
    "30, 5, 0.65",
    "20, 19, 0.4",
    "30, 19, 0.4"
  })
  void fleetWithUnevenTrafficDoesNotOverloadColdBackends(
      int gatewayCount, int coldBackends, double minServedShare) {
    firstGatewayShare = 0.8;
    createFleet(gatewayCount, 20);
    assertNoOverload(gatewayCount, coldBackends, minServedShare, t -> load);
  }

  /**
   * Guards against overload if each gateway restarts about every four seconds and loses its record
   * of sent requests.
   */
  @ParameterizedTest
  @ValueSource(ints = {20, 30})
  void restartingGatewaysDoNotOverloadColdBackends(int gatewayCount) {
    restartsPerSecond = gatewayCount / 4.0;
    createFleet(gatewayCount, 20);
    assertNoOverload(gatewayCount, 10, 0.5, t -> load);
  }

  /**
   * Guards against overload by retries that must stay in the cell or zone of an earlier attempt.
   * Some cells have only cold backends, and one attempt in five fails.
   */
  @ParameterizedTest
  @CsvSource({"20, cell", "30, cell", "20, zone", "30, zone"})
  void retriesBoundToColdBackendsDoNotOverloadThem(int gatewayCount, String requestClass) {
    this.requestClass = requestClass;
    errorShare = 0.2;
    createFleet(gatewayCount, 20);
    assertNoOverload(gatewayCount, 8, 0.6, t -> load);
  }

  /**
   * Guards against overload by tokens that all gateways accumulate under low traffic and then use
   * at the same moment.
   */
  @ParameterizedTest
  @ValueSource(ints = {20, 30, 100})
  void burstAfterLowTrafficDoesNotOverloadColdBackends(int gatewayCount) {
    rules = SLOW_TO_WARM;
    createFleet(gatewayCount, 6);
    assertNoOverload(gatewayCount, 6, 0.1, t -> t < 15_000 ? 2 : 3 * load);
  }
}
