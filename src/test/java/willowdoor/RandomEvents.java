package willowdoor;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import willowdoor.GatewayApi.Action;
import willowdoor.GatewayApi.Add;
import willowdoor.GatewayApi.BackendEntry;
import willowdoor.GatewayApi.Cancel;
import willowdoor.GatewayApi.ClientLeft;
import willowdoor.GatewayApi.Counted;
import willowdoor.GatewayApi.Event;
import willowdoor.GatewayApi.Fail;
import willowdoor.GatewayApi.Load;
import willowdoor.GatewayApi.Outcome;
import willowdoor.GatewayApi.Phase;
import willowdoor.GatewayApi.Plan;
import willowdoor.GatewayApi.Reconfigured;
import willowdoor.GatewayApi.Refuse;
import willowdoor.GatewayApi.Request;
import willowdoor.GatewayApi.RequestClass;
import willowdoor.GatewayApi.Roster;
import willowdoor.GatewayApi.RosterForm;
import willowdoor.GatewayApi.Rules;
import willowdoor.GatewayApi.Send;
import willowdoor.GatewayApi.Settings;
import willowdoor.GatewayApi.Status;
import willowdoor.GatewayApi.WakeAt;
import willowdoor.GatewayApi.Woken;

/**
 * A seeded stream of events for one module, in answer to its actions: requests, outcomes of every
 * status, counts, wake-ups, and rosters of every form whose backends come, move, drain, start again
 * and go.
 */
final class RandomEvents {

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
    Status.UNREACHABLE,
    Status.BROKEN,
    Status.RESET,
    Status.SPOILT,
    Status.NOT_SENT
  };
  private static final double BEGIN_MS = 1_000_000;
  private static final double MEAN_GAP_MS = 8;
  private static final int LEAST_COLD_MS = 5_000;
  private static final double[] SIZES = {0, 0.5, 1, 1, 1.37, 2, 4.1};

  /** Sees each event with the actions that it led to. */
  interface Listener {
    void on(double now, Event event, List<Action> actions);
  }

  private record Due(double at, long order, Event event) {}

  private final SplittableRandom random;
  private final QuotaPolicy policy;
  private final Listener listener;
  private final int backends;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final TreeMap<Long, BackendEntry> listed = new TreeMap<>();
  private final TreeMap<String, Integer> sent = new TreeMap<>();
  private final TreeMap<String, Boolean> open = new TreeMap<>();
  private Settings settings;
  private double now = BEGIN_MS;
  private long order;
  private int requests;

  /** For a module that the maker makes of its settings. */
  RandomEvents(
      long seed,
      int gateways,
      int backends,
      Function<Settings, QuotaPolicy> maker,
      Listener listener) {
    this.random = new SplittableRandom(seed);
    this.backends = backends;
    this.listener = listener;
    settings = settings(gateways, 10_000);
    policy = maker.apply(settings);
  }

  private static Settings settings(int gateways, double coldMs) {
    Settings usual = Fixtures.settings(true, gateways, false, 1);
    Rules rules = new Rules(8, 0.2, coldMs, 3, 2000);
    return new Settings(
        gateways, 1, "a", 4, 0.1, true, usual.classes(), usual.plans(), usual.allowed(), rules);
  }

  void run(int events) {
    take(policy.start(now));
    deliver(new Roster(RosterForm.REMEMBERED, replaced()));
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
        deliver(roster());
      } else if (kind < 0.052) {
        settings = settings(settings.gateways(), LEAST_COLD_MS + 5_000 * random.nextInt(4));
        deliver(new Reconfigured(settings));
      } else if (kind < 0.08 && !open.isEmpty()) {
        deliver(new ClientLeft(open.firstKey()));
      } else {
        request();
      }
    }
  }

  private void request() {
    RequestClass type = settings.classes().get(random.nextInt(settings.classes().size()));
    Plan plan = settings.plans().get(random.nextInt(settings.plans().size()));
    String id = "r" + requests++;
    open.put(id, true);
    deliver(
        new Request(
            id,
            type,
            plan.name(),
            random.nextInt(20),
            2,
            1 + random.nextInt(4),
            now + 500 + random.nextInt(4000)));
  }

  private Roster roster() {
    double form = random.nextDouble();
    if (form < 0.1) {
      return new Roster(RosterForm.FAILED, List.of());
    } else if (form < 0.3) {
      return new Roster(
          random.nextBoolean() ? RosterForm.COMPLETE : RosterForm.REMEMBERED, replaced());
    }
    List<BackendEntry> changed = new ArrayList<>();
    for (int i = random.nextInt(5); i >= 0; i--) {
      changed.add(changed());
    }
    return new Roster(RosterForm.CHANGES, changed);
  }

  /** A whole list, from which some are left out. */
  private List<BackendEntry> replaced() {
    for (int i = 0; i < backends / 4 || listed.size() < backends / 2; i++) {
      changed();
    }
    listed.values().removeIf(x -> x.phase() == Phase.REMOVED || random.nextInt(20) == 0);
    return new ArrayList<>(listed.values());
  }

  private BackendEntry changed() {
    long id = random.nextInt(backends) * 0x9E3779B97F4A7C15L;
    BackendEntry old = listed.get(id);
    boolean same = old != null && old.phase() != Phase.REMOVED && random.nextInt(16) > 0;
    double started = same ? old.startedMs() : startedMs();
    Phase phase = random.nextInt(10) < 9 ? Phase.SERVING : Phase.values()[1 + random.nextInt(2)];
    String zone = old == null || random.nextInt(50) == 0 ? id % 3 == 0 ? "b" : "a" : old.zone();
    BackendEntry entry =
        new BackendEntry(
            id, zone, Math.floorMod(id, 3), phase, SIZES[random.nextInt(SIZES.length)], started);
    listed.put(id, entry);
    return entry;
  }

  /** Backends of the first list may have run for long; what comes later is new. */
  private double startedMs() {
    return now > BEGIN_MS
        ? now - random.nextInt(LEAST_COLD_MS) + 1_000
        : random.nextBoolean() ? 0 : now - random.nextInt(20_000) + 1_000;
  }

  private void deliver(Event event) {
    List<Action> actions = policy.on(now, event);
    listener.on(now, event, actions);
    if (event instanceof ClientLeft e) {
      open.remove(e.request());
    } else if (event instanceof Outcome e && e.over()) {
      open.remove(e.request());
    }
    take(actions);
  }

  private void take(List<Action> actions) {
    for (Action action : List.copyOf(actions)) {
      if (action instanceof Send a) {
        send(a);
      } else if (action instanceof Add a) {
        count(a);
      } else if (action instanceof WakeAt a) {
        later(a.atMs() + (random.nextInt(500) == 0 ? 200 : 0), new Woken(a.label()));
      } else if (action instanceof Refuse a) {
        open.remove(a.request());
      } else if (action instanceof Fail a) {
        open.remove(a.request());
      } else if (action instanceof Cancel a) {
        later(now, new Outcome(a.request(), a.attempt(), 0, Status.CANCELLED, 0, false, 0, null));
      }
    }
  }

  private void send(Send a) {
    int attempt = sent.merge(a.request(), 1, Integer::sum) - 1;
    Status status = OUTCOMES[random.nextInt(OUTCOMES.length)];
    double latency =
        Math.min(a.timeoutMs(), 10 + random.nextInt(status == Status.TIMED_OUT ? 3000 : 150));
    Load load =
        random.nextBoolean() ? null : new Load(random.nextInt(20), 20 + random.nextInt(100));
    later(
        now + latency,
        new Outcome(
            a.request(),
            attempt,
            a.backend(),
            status,
            latency,
            status == Status.OK,
            random.nextInt(4),
            load));
  }

  private void count(Add a) {
    Status status = random.nextInt(30) > 0 ? Status.OK : Status.values()[1 + random.nextInt(6)];
    later(now + 2, new Counted(a.name(), status, random.nextInt(60), 2));
  }

  private void later(double at, Event event) {
    due.add(new Due(at, order++, event));
  }
}
