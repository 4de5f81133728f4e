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
 * Generates a seeded stream of events for one policy and responds to its actions. The stream has
 * requests, client disconnections, attempt outcomes of every status, counter replies, timers,
 * changes of settings, and endpoint lists whose backends are added, moved, drained, restarted and
 * removed.
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
  private static final double START_MS = 1_000_000;
  private static final double MEAN_INTERARRIVAL_MS = 8;
  private static final int MIN_WARM_UP_MS = 5_000;
  private static final double[] WEIGHTS = {0, 0.5, 1, 1, 1.37, 2, 4.1};

  /** Receives each event together with the resulting actions. */
  public interface Listener {
    void on(double now, Event event, List<Action> actions);
  }

  private record ScheduledEvent(double atMs, long order, Event event) {}

  private final SplittableRandom random;
  private final GatewayPolicy policy;
  private final Listener listener;
  private final int backends;
  private final PriorityQueue<ScheduledEvent> scheduledEvents =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
  private final TreeMap<Long, Endpoint> listed = new TreeMap<>();
  private final TreeMap<String, Integer> sent = new TreeMap<>();
  private final TreeMap<String, Boolean> open = new TreeMap<>();
  private PolicySettings settings;
  private double now = START_MS;
  private long order;
  private int requests;

  /** Creates a stream for a policy that the factory creates from the generated settings. */
  public RandomEvents(
      long seed,
      int gateways,
      int backends,
      Function<PolicySettings, GatewayPolicy> policyFactory,
      Listener listener) {
    this.random = new SplittableRandom(seed);
    this.backends = backends;
    this.listener = listener;
    settings = settings(gateways, 10_000);
    policy = policyFactory.apply(settings);
  }

  private static PolicySettings settings(int gateways, double warmUpMs) {
    PolicySettings usual = PolicyFixture.settings(true, gateways, false, 1);
    ServiceRules rules = new ServiceRules(8, 0.2, warmUpMs, 3, 2000);
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
    handleActions(policy.start(now));
    deliver(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, randomSnapshot()));
    for (int i = 0; i < events; i++) {
      double next = now - Math.log(1 - random.nextDouble()) * MEAN_INTERARRIVAL_MS;
      while (!scheduledEvents.isEmpty() && scheduledEvents.peek().atMs <= next) {
        ScheduledEvent first = scheduledEvents.poll();
        now = Math.max(now, first.atMs);
        deliver(first.event);
      }
      now = next;
      double kind = random.nextDouble();
      if (kind < 0.05) {
        deliver(randomEndpointsUpdate());
      } else if (kind < 0.052) {
        settings = settings(settings.gatewayCount(), MIN_WARM_UP_MS + 5_000 * random.nextInt(4));
        deliver(new SettingsChanged(settings));
      } else if (kind < 0.08 && !open.isEmpty()) {
        deliver(new ClientDisconnected(open.firstKey()));
      } else {
        request();
      }
    }
  }

  private void request() {
    RequestClass requestClass =
        settings.requestClasses().get(random.nextInt(settings.requestClasses().size()));
    Plan plan = settings.plans().get(random.nextInt(settings.plans().size()));
    String id = "r" + requests++;
    open.put(id, true);
    deliver(
        new RequestReceived(
            id,
            requestClass,
            plan.name(),
            random.nextInt(20),
            2,
            1 + random.nextInt(4),
            now + 500 + random.nextInt(4000)));
  }

  private EndpointsUpdated randomEndpointsUpdate() {
    double form = random.nextDouble();
    if (form < 0.1) {
      return new EndpointsUpdated(EndpointListForm.FAILED, List.of());
    } else if (form < 0.3) {
      return new EndpointsUpdated(
          random.nextBoolean() ? EndpointListForm.SNAPSHOT : EndpointListForm.CACHED_SNAPSHOT,
          randomSnapshot());
    }
    List<Endpoint> changed = new ArrayList<>();
    for (int i = random.nextInt(5); i >= 0; i--) {
      changed.add(randomChange());
    }
    return new EndpointsUpdated(EndpointListForm.DELTA, changed);
  }

  /** Returns a complete endpoint list, after removing some of the endpoints listed so far. */
  private List<Endpoint> randomSnapshot() {
    for (int i = 0; i < backends / 4 || listed.size() < backends / 2; i++) {
      randomChange();
    }
    listed
        .values()
        .removeIf(endpoint -> endpoint.state() == EndpointState.REMOVED || random.nextInt(20) == 0);
    return new ArrayList<>(listed.values());
  }

  private Endpoint randomChange() {
    long id = random.nextInt(backends) * 0x9E3779B97F4A7C15L;
    Endpoint old = listed.get(id);
    boolean sameIncarnation =
        old != null && old.state() != EndpointState.REMOVED && random.nextInt(16) > 0;
    double startedMs = sameIncarnation ? old.startedMs() : startedMs();
    EndpointState state =
        random.nextInt(10) < 9
            ? EndpointState.SERVING
            : NOT_SERVING.get(random.nextInt(NOT_SERVING.size()));
    String zone = old == null || random.nextInt(50) == 0 ? id % 3 == 0 ? "b" : "a" : old.zone();
    Endpoint entry =
        new Endpoint(
            id,
            zone,
            Math.floorMod(id, 3),
            state,
            WEIGHTS[random.nextInt(WEIGHTS.length)],
            startedMs);
    listed.put(id, entry);
    return entry;
  }

  /** Returns a random start time: backends of the first list may be old, later ones are recent. */
  private double startedMs() {
    return now > START_MS
        ? now - random.nextInt(MIN_WARM_UP_MS) + 1_000
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
    handleActions(actions);
  }

  private void handleActions(List<Action> actions) {
    for (Action action : List.copyOf(actions)) {
      if (action instanceof StartAttempt a) {
        scheduleOutcome(a);
      } else if (action instanceof IncrementCounter a) {
        scheduleCounterReply(a);
      } else if (action instanceof ScheduleTimer a) {
        schedule(a.atMs() + (random.nextInt(500) == 0 ? 200 : 0), new TimerFired(a.timer()));
      } else if (action instanceof RejectRequest a) {
        open.remove(a.requestId());
      } else if (action instanceof FailRequest a) {
        open.remove(a.requestId());
      } else if (action instanceof CancelAttempt a) {
        schedule(
            now,
            new AttemptEnded(a.requestId(), a.attempt(), 0, Status.CANCELLED, 0, false, 0, null));
      }
    }
  }

  private void scheduleOutcome(StartAttempt a) {
    int attempt = sent.merge(a.requestId(), 1, Integer::sum) - 1;
    Status status = OUTCOMES[random.nextInt(OUTCOMES.length)];
    double latency =
        Math.min(a.timeoutMs(), 10 + random.nextInt(status == Status.TIMED_OUT ? 3000 : 150));
    LoadReport load =
        random.nextBoolean() ? null : new LoadReport(random.nextInt(20), 20 + random.nextInt(100));
    schedule(
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

  private void scheduleCounterReply(IncrementCounter a) {
    Status status =
        random.nextInt(30) > 0
            ? Status.OK
            : CALL_FAILURES.get(random.nextInt(CALL_FAILURES.size()));
    schedule(now + 2, new CounterReplied(a.counterName(), status, random.nextInt(60), 2));
  }

  private void schedule(double atMs, Event event) {
    scheduledEvents.add(new ScheduledEvent(atMs, order++, event));
  }
}
