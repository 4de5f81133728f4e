package quotagateway.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.ClientDisconnected;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.LoadReport;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.SettingsChanged;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;
import quotagateway.policy.settings.ServiceRules;

/**
 * A seeded stream of events for one policy, in answer to its actions: requests, outcomes of every
 * status, counter replies, wake-ups, and endpoint lists of every form whose backends come, move,
 * drain, restart and go.
 */
public final class RandomEvents {

  private static final Status[] OUTCOMES = {
    Status.OK,
    Status.OK,
    Status.OK,
    Status.OK,
    Status.OK,
    Status.OK,
    Status.ERROR,
    Status.REJECTED,
    Status.TIMED_OUT,
    Status.CONNECT_FAILED,
    Status.WRITE_INCOMPLETE,
    Status.RESET,
    Status.MALFORMED_RESPONSE,
    Status.NOT_SENT
  };
  private static final List<EndpointState> NOT_SERVING =
      List.of(EndpointState.DRAINING, EndpointState.REMOVED);
  private static final List<Status> CALL_FAILURES =
      List.of(
          Status.ERROR,
          Status.REJECTED,
          Status.TIMED_OUT,
          Status.CONNECT_FAILED,
          Status.WRITE_INCOMPLETE,
          Status.RESET);
  private static final double BEGIN_MS = 1_000_000;
  private static final double MEAN_GAP_MS = 8;
  private static final int MIN_COLD_MS = 5_000;
  private static final double[] SIZES = {0, 0.5, 1, 1, 1.37, 2, 4.1};

  /** Sees each event with the actions that it led to. */
  public interface Listener {
    void on(double now, Event event, List<Action> actions);
  }

  private record Due(double at, long order, Event event) {}

  private final SplittableRandom random;
  private final GatewayPolicy policy;
  private final Listener listener;
  private final int backends;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final TreeMap<Long, Endpoint> listed = new TreeMap<>();
  private final TreeMap<String, Integer> sent = new TreeMap<>();
  private final TreeMap<String, Boolean> open = new TreeMap<>();
  private PolicySettings settings;
  private double now = BEGIN_MS;
  private long order;
  private int requests;

  /** For a policy that the maker makes of its settings. */
  public RandomEvents(
      long seed,
      int gateways,
      int backends,
      Function<PolicySettings, GatewayPolicy> maker,
      Listener listener) {
    this.random = new SplittableRandom(seed);
    this.backends = backends;
    this.listener = listener;
    settings = settings(gateways, 10_000);
    policy = maker.apply(settings);
  }

  private static PolicySettings settings(int gateways, double coldMs) {
    PolicySettings usual = PolicyFixture.settings(true, gateways, false, 1);
    ServiceRules rules = new ServiceRules(8, 0.2, coldMs, 3, 2000);
    return new PolicySettings(
        gateways,
        1,
        "a",
        4,
        0.1,
        true,
        usual.requestClasses(),
        usual.plans(),
        usual.capabilities(),
        rules);
  }

  public void run(int events) {
    take(policy.start(now));
    deliver(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, replaced()));
    for (int i = 0; i < events; i++) {
      double next = now - Math.log(1 - random.nextDouble()) * MEAN_GAP_MS;
      while (!due.isEmpty() && due.peek().at <= next) {
        Due first = due.poll();
        now = Math.max(now, first.at);
        deliver(first.event);
      }
      now = next;
      double kind = random.nextDouble();
      if (kind < 0.05) {
        deliver(endpointsUpdated());
      } else if (kind < 0.052) {
        settings = settings(settings.gatewayCount(), MIN_COLD_MS + 5_000 * random.nextInt(4));
        deliver(new SettingsChanged(settings));
      } else if (kind < 0.08 && !open.isEmpty()) {
        deliver(new ClientDisconnected(open.firstKey()));
      } else {
        request();
      }
    }
  }

  private void request() {
    RequestClass type =
        settings.requestClasses().get(random.nextInt(settings.requestClasses().size()));
    Plan plan = settings.plans().get(random.nextInt(settings.plans().size()));
    String id = "r" + requests++;
    open.put(id, true);
    deliver(
        new RequestReceived(
            id,
            type,
            plan.name(),
            random.nextInt(20),
            2,
            1 + random.nextInt(4),
            now + 500 + random.nextInt(4000)));
  }

  private EndpointsUpdated endpointsUpdated() {
    double form = random.nextDouble();
    if (form < 0.1) {
      return new EndpointsUpdated(EndpointListForm.FAILED, List.of());
    } else if (form < 0.3) {
      return new EndpointsUpdated(
          random.nextBoolean() ? EndpointListForm.SNAPSHOT : EndpointListForm.CACHED_SNAPSHOT,
          replaced());
    }
    List<Endpoint> changed = new ArrayList<>();
    for (int i = random.nextInt(5); i >= 0; i--) {
      changed.add(changed());
    }
    return new EndpointsUpdated(EndpointListForm.DELTA, changed);
  }

  /** A whole list, from which some are left out. */
  private List<Endpoint> replaced() {
    for (int i = 0; i < backends / 4 || listed.size() < backends / 2; i++) {
      changed();
    }
    listed.values().removeIf(x -> x.state() == EndpointState.REMOVED || random.nextInt(20) == 0);
    return new ArrayList<>(listed.values());
  }

  private Endpoint changed() {
    long id = random.nextInt(backends) * 0x9E3779B97F4A7C15L;
    Endpoint old = listed.get(id);
    boolean same = old != null && old.state() != EndpointState.REMOVED && random.nextInt(16) > 0;
    double started = same ? old.startedMs() : startedMs();
    EndpointState phase =
        random.nextInt(10) < 9
            ? EndpointState.SERVING
            : NOT_SERVING.get(random.nextInt(NOT_SERVING.size()));
    String zone = old == null || random.nextInt(50) == 0 ? id % 3 == 0 ? "b" : "a" : old.zone();
    Endpoint entry =
        new Endpoint(
            id, zone, Math.floorMod(id, 3), phase, SIZES[random.nextInt(SIZES.length)], started);
    listed.put(id, entry);
    return entry;
  }

  /** Backends of the first list may have run for long; what comes later is new. */
  private double startedMs() {
    return now > BEGIN_MS
        ? now - random.nextInt(MIN_COLD_MS) + 1_000
        : random.nextBoolean() ? 0 : now - random.nextInt(20_000) + 1_000;
  }

  private void deliver(Event event) {
    List<Action> actions = policy.on(now, event);
    listener.on(now, event, actions);
    if (event instanceof ClientDisconnected e) {
      open.remove(e.requestId());
    } else if (event instanceof AttemptEnded e && e.requestFinished()) {
      open.remove(e.requestId());
    }
    take(actions);
  }

  private void take(List<Action> actions) {
    for (Action action : List.copyOf(actions)) {
      if (action instanceof StartAttempt a) {
        send(a);
      } else if (action instanceof IncrementCounter a) {
        count(a);
      } else if (action instanceof ScheduleTimer a) {
        later(a.atMs() + (random.nextInt(500) == 0 ? 200 : 0), new TimerFired(a.timer()));
      } else if (action instanceof RejectRequest a) {
        open.remove(a.requestId());
      } else if (action instanceof FailRequest a) {
        open.remove(a.requestId());
      } else if (action instanceof CancelAttempt a) {
        later(
            now,
            new AttemptEnded(a.requestId(), a.attempt(), 0, Status.CANCELLED, 0, false, 0, null));
      }
    }
  }

  private void send(StartAttempt a) {
    int attempt = sent.merge(a.requestId(), 1, Integer::sum) - 1;
    Status status = OUTCOMES[random.nextInt(OUTCOMES.length)];
    double latency =
        Math.min(a.timeoutMs(), 10 + random.nextInt(status == Status.TIMED_OUT ? 3000 : 150));
    LoadReport load =
        random.nextBoolean() ? null : new LoadReport(random.nextInt(20), 20 + random.nextInt(100));
    later(
        now + latency,
        new AttemptEnded(
            a.requestId(),
            attempt,
            a.endpointId(),
            status,
            latency,
            status == Status.OK,
            random.nextInt(4),
            load));
  }

  private void count(IncrementCounter a) {
    Status status =
        random.nextInt(30) > 0
            ? Status.OK
            : CALL_FAILURES.get(random.nextInt(CALL_FAILURES.size()));
    later(now + 2, new CounterReplied(a.counterName(), status, random.nextInt(60), 2));
  }

  private void later(double at, Event event) {
    due.add(new Due(at, order++, event));
  }
}
