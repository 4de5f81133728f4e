package quotagateway.policy;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.endpoint.OrderedSlots;
import quotagateway.endpoint.ServingEndpoints;
import quotagateway.policy.GatewayState.BackendState;
import quotagateway.policy.GatewayState.GroupReaches;
import quotagateway.policy.GatewayState.JobState;
import quotagateway.policy.GatewayState.Reach;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.action.WatchEndpoints;
import quotagateway.policy.admission.LoadShedder;
import quotagateway.policy.context.DecayingMean;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.ClientDisconnected;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.LoadReport;
import quotagateway.policy.event.RequestBodyComplete;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.ResponseStarted;
import quotagateway.policy.event.SettingsChanged;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.quota.BackendLoad;
import quotagateway.policy.quota.QuotaDecision;
import quotagateway.policy.quota.QuotaLimiter;
import quotagateway.policy.quota.QuotaReservation;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/**
 * All decisions of one gateway. Its interface (settings, events, actions) is GatewayApi.java in
 * this folder. The ordinary path: each request's estimate is added to its customer's shared count,
 * refused if the answer shows that it passes the plan's quota, and settled by the true units. A cap
 * on open requests has a count of its own in the same way, settled by giving the place back. One
 * instance a gateway, one thread; time comes with the events.
 */
public final class GatewayPolicy {

  // ---- Constants ----

  /** How often waiting requests are looked at: well under what a person or an aim notices. */
  private static final double TICK_MS = 25;

  /** Without open requests a slow pulse is enough: it shows when this gateway stood still. */
  private static final double PULSE_MS = 250;

  /** After a stall the requests are looked at this much later. */
  private static final double AFTER_STALL_MS = 1;

  /**
   * A request waits for the counter at most this share of its aim; the rest is for the backends.
   */
  private static final double COUNT_WAIT_OF_AIM = 0.06;

  /**
   * Weight of the newest answer in a backend's failures; in service times, which differ more, half
   * of it.
   */
  private static final double NEWEST = 0.2;

  /** Weight of an answer from a group of backends that was taken for lost. */
  private static final double BACK = 0.5;

  /**
   * A backend failing more of its answers than this, as after three in a row, rests for a growing
   * while.
   */
  private static final double FAILING_SHARE = 0.4;

  private static final double REST_MS = 1_000;

  /**
   * Backends that a gateway keeps to (subsetting), and gateways that each has at least: few
   * connections.
   */
  private static final int SUBSET = 12;

  /** Backends whose full state is kept beyond those; more than the days have, and few megabytes. */
  private static final int MOST_STATES = 4_000;

  /** A backend that has rested and was not met for this long is like a new one. */
  private static final double REST_MEMORY_MS = 10_000;

  /** Backends that are removed at once, of many that have left: about a millisecond. */
  private static final int SWEPT_AT_ONCE = 200;

  /** What is learned of a backend and faded to this is worth nothing. */
  private static final double FORGOTTEN = 0.001;

  /**
   * Backends compared for a request, over all gateways; two at least, as equal stale reports make a
   * herd.
   */
  private static final double FLEET_CANDIDATES = 30;

  /**
   * Further attempts for each request, earned by first attempts, and how many the fleet may save
   * up.
   */
  private static final double RETRY_EARNED = 0.15;

  private static final double FLEET_RETRIES_SAVED = 30;

  /**
   * A first attempt that can be repeated is given up after this share of the aim, so that a second
   * fits.
   */
  private static final double FIRST_TRY_OF_AIM = 0.65;

  /** Answer this long before the client gives up, so that the answer itself is in time. */
  private static final double GUARD_MS = 15;

  private static final double PRESSURE_LIFE_MS = 4_000;

  /**
   * Random spread of expected waits, so that gateways with the same reports pick different
   * backends.
   */
  private static final double SPREAD = 0.15;

  /** How long a backend's measured speed and failures are worth much without a further answer. */
  private static final double LEARNED_LIFE_MS = 3_000;

  /** How long a load report is worth much: others' requests there are mostly answered by then. */
  private static final double REPORT_LIFE_MS = 700;

  /** Wait for any usable backend this share of the aim before refusing. */
  private static final double HOLD_OF_AIM = 0.4;

  /** What a backend is taken to need before anything was seen of it. */
  private static final double UNKNOWN_SERVICE_MS = 100;

  private PolicySettings settings;
  private final DecisionContext context;
  private final QuotaLimiter quotaLimiter;
  private final LoadShedder loadShedder;
  private final WakeUpTimer wakeUpTimer = new WakeUpTimer();
  private List<Action> out = new ArrayList<>();
  private double now, startedAt;

  public GatewayPolicy(PolicySettings settings, long seed) {
    this(settings, seed, new EndpointIndex(settings.gatewayIndex()));
  }

  public GatewayPolicy(PolicySettings settings, long seed, EndpointIndex index) {
    this.settings = settings;
    this.context = new DecisionContext(settings, seed);
    this.index = index;
    retriesSaved = Math.max(1, FLEET_RETRIES_SAVED / Math.max(1, settings.gatewayCount()));
    retryTokens = retriesSaved;
    loadShedder = new LoadShedder(context, () -> index.serving().size());
    quotaLimiter = new QuotaLimiter(context, new LoadForQuota());
  }

  /** What is known of the backends, always as of the last event. */
  public ServingEndpoints listing() {
    return index;
  }

  /** To be called once, before any event. */
  public List<Action> start(double nowMs) {
    context.start(nowMs);
    now = nowMs;
    startedAt = nowMs;
    out = context.actions();
    arm(TICK_MS);
    if (settings.capabilities().pollsDiscovery()) {
      out.add(new WatchEndpoints());
    }
    return out;
  }

  /** Takes one event and gives what to do, in order. */
  public List<Action> on(double nowMs, Event event) {
    context.begin(nowMs);
    now = nowMs;
    out = context.actions();
    wakeUpTimer.detectStall(now);
    if (event instanceof RequestReceived e) {
      onRequest(e);
      if (wakeUpTimer.dueAtMs() > now + TICK_MS && !open.isEmpty()) {
        arm(TICK_MS);
      }
    } else if (event instanceof AttemptEnded e) {
      onOutcome(e);
    } else if (event instanceof CounterReplied e) {
      onCounted(e);
    } else if (event instanceof TimerFired e) {
      onWoken(e);
    } else if (event instanceof EndpointsUpdated e) {
      onRoster(e);
    } else if (event instanceof ClientDisconnected e) {
      onClientLeft(e.requestId());
    } else if (event instanceof SettingsChanged e) {
      onSettings(e.settings());
    } else if (event instanceof ResponseStarted e) {
      onStreamBegan(e);
    } else if (event instanceof RequestBodyComplete e && open.containsKey(e.requestId())) {
      onBodyWhole(open.get(e.requestId()), e.deadlineAtMs());
    }
    return out;
  }

  /** Takes new settings; counts, health and open requests live on. */
  private void onSettings(PolicySettings changed) {
    if (changed.gatewayIndex() != index.gateway()) {
      index.rankFor(changed.gatewayIndex());
    }
    if (changed.rules().warmUpMs() != settings.rules().warmUpMs()) {
      index.recountStarting(changed.rules().warmUpMs(), now);
    }
    context.replaceSettings(changed);
    settings = changed;
    quotaLimiter.applySettings();
  }

  // ---- Quota ----

  /** What the quota has to know of the backends. */
  private final class LoadForQuota implements BackendLoad {
    @Override
    public double meanServiceMs() {
      return fleetService;
    }

    @Override
    public boolean isOverloadedForUnconfirmed(double priorityWeight) {
      return loadShedder.isOverloadedForUnconfirmed(priorityWeight);
    }
  }

  private void onCounted(CounterReplied e) {
    quotaLimiter
        .onCounterReplied(e, stalled())
        .ifPresent(reply -> apply(reply.decision(), open.get(reply.requestId())));
  }

  /**
   * Over quota a request is forwarded only where its plan earns by it and the backends are idle.
   */
  private void apply(QuotaDecision decision, Job job) {
    if (decision instanceof QuotaDecision.Admitted) {
      dispatch(job);
    } else if (decision instanceof QuotaDecision.OverQuota overQuota) {
      if (job.quota.mayExceedQuota() && loadShedder.hasSpareCapacity()) {
        dispatch(job);
      } else {
        refuse(job, overQuota.retryAfterMs());
      }
    }
  }

  // ---- Backends ----

  private final class Backend extends BackendState {
    final int slot;
    final LinkedHashSet<Attempt> out = new LinkedHashSet<>();

    Backend(int slot, double coldTokens) {
      super(index.id(slot), index.startedMs(slot), now);
      this.slot = slot;
      this.coldTokens = coldTokens;
      join(index, slot, reaches);
    }

    /**
     * Whether it may be built anew when next looked at, as nothing of worth is known of it any
     * more.
     */
    boolean forgettable() {
      return out.isEmpty()
          && startedMs == toldStart
          && !index.cold(slot, settings.rules().warmUpMs(), now)
          && now > restUntil + REST_MEMORY_MS
          && remembered() < FORGOTTEN
          && !index.isAmong(usual, slot);
    }

    /**
     * Requests here from all gateways; a report is trusted less as it ages, so no backend stays
     * shunned.
     */
    double held() {
      double usual =
          loadShedder.meanAttemptsInFlight()
              / Math.max(1, index.serving().size())
              * (settings.gatewayCount() - 1);
      if (Double.isNaN(reported)) {
        return out.size() + usual;
      }
      double fresh = Math.exp((reportedAt - now) / REPORT_LIFE_MS);
      return out.size() + usual + fresh * (Math.max(0, reported - reportedOwn) - usual);
    }

    double serviceMs() {
      return Double.isNaN(service)
          ? fleetService
          : fleetService + remembered() * (service - fleetService);
    }

    /**
     * What was learned of a backend fades while it answers nothing. Guards against shunning one
     * after a trouble of any kind that nobody sees end. Harm: a lasting trouble is met again once
     * in a while.
     */
    double remembered() {
      return Math.exp((answeredAt - now) / LEARNED_LIFE_MS);
    }

    /**
     * Expected time to an answer: service time by requests held, longer where the oldest is
     * overdue.
     */
    double wait(Job job) {
      double w = serviceMs() * (1 + held() / (index.size(slot) / index.meanSize()));
      if (!out.isEmpty()) {
        double silent = now - out.iterator().next().sentAt;
        w += Math.max(0, silent - 2.5 * fleetService);
      }
      if (!zone.equals(settings.zone())) {
        w += settings.crossZonePrice() * job.aim();
      }
      return w * (1 + 4 * failing * remembered()) * (trial ? 0.5 : 1);
    }
  }

  /** No record: sets of attempts go by identity, and a record's hash is code made at run time. */
  private static final class Attempt {
    final Job job;
    final int number;
    final Backend backend;
    double sentAt;
    boolean counted;

    Attempt(Job job, int number, Backend backend, double sentAt) {
      this.job = job;
      this.number = number;
      this.backend = backend;
      this.sentAt = sentAt;
    }
  }

  private final EndpointIndex index;

  /** Full state of those that are kept to, cold, or were looked at, by their slots in the index. */
  private final Int2ObjectOpenHashMap<Backend> states = new Int2ObjectOpenHashMap<>();

  /** Slots of those that are gone, or were when last looked at. */
  private final IntArrayList gone = new IntArrayList();

  /** Slots named by the list whose parts are coming in, or null. */
  private BitSet listed;

  private boolean sweeping;
  private final GroupReaches reaches =
      new GroupReaches(() -> new Reach(new DecayingMean(NEWEST, PRESSURE_LIFE_MS, startedAt)));
  private double fleetService = UNKNOWN_SERVICE_MS;

  /** This gateway keeps to so many: those that come first in its own order. */
  private int usual;

  private int warm;
  private double warmAt = Double.NEGATIVE_INFINITY, forgotAt = warmAt, sendRate, sendsAt;

  /** How many backends' full state is kept. */
  public int fullStates() {
    return states.size();
  }

  private void onRoster(EndpointsUpdated e) {
    if (e.form() == EndpointListForm.FAILED) {
      out.add(new ScheduleTimer(now + 1000, Timer.ENDPOINT_WATCH));
      return;
    }
    if (listed == null && e.form() != EndpointListForm.DELTA) {
      listed = new BitSet(index.capacity());
    }
    e.endpoints().forEach(this::take);
    if (e.form() == EndpointListForm.SNAPSHOT || e.form() == EndpointListForm.CACHED_SNAPSHOT) {
      index.keepOnly(listed);
    }
    listed = e.form() == EndpointListForm.FRAGMENT ? listed : null;
    sweep();
  }

  /**
   * Removes those that have left, by and by where there are many, so that requests do not wait for
   * that.
   */
  private void sweep() {
    boolean more = index.sweep(SWEPT_AT_ONCE, gone::add);
    if (more && !sweeping) {
      out.add(new ScheduleTimer(now + 1, Timer.ENDPOINT_SWEEP));
    }
    sweeping = more;
    gone.removeIf(this::forget);
    usual =
        Math.min(
            index.serving().size(),
            Math.max(
                SUBSET, SUBSET * index.serving().size() / Math.max(1, settings.gatewayCount())));
    warmAt = Double.NEGATIVE_INFINITY;
  }

  /** Takes one entry; one that has started again is a new backend. */
  private void take(Endpoint x) {
    int group = index.group(x.zone(), x.cell());
    int known = index.find(x.id());
    int slot = known == EndpointIndex.NONE ? index.add(x.id(), group) : known;
    Backend b = states.get(slot);
    double toldStart = b == null ? index.startedMs(slot) : b.toldStart;
    boolean same = known != EndpointIndex.NONE && toldStart == x.startedMs();
    double startedMs = same ? index.startedMs(slot) : x.startedMs();
    double size = settings.endpointWeightsTold() ? x.weight() : 1;
    index.setPlace(slot, x.address());
    index.set(slot, group, x.state(), size, startedMs, settings.rules().warmUpMs(), now);
    if (!same) {
      renew(slot);
    } else if (b != null) {
      b.join(index, slot, reaches);
    }
    if (x.state() == EndpointState.REMOVED) {
      gone.add(slot);
    }
    if (listed != null) {
      listed.set(slot);
    }
  }

  /**
   * Another process has this slot: nothing is known of it, and while it is cold its tokens are
   * kept.
   */
  private void renew(int slot) {
    double coldTokens = context.nextRandom();
    states.remove(slot);
    if (index.cold(slot, settings.rules().warmUpMs(), now) && states.size() < usual + MOST_STATES) {
      states.put(slot, new Backend(slot, coldTokens));
    }
  }

  /**
   * The full state of a backend, built where there is none: a cold one then begins without tokens.
   */
  private Backend state(int slot) {
    Backend b = states.get(slot);
    if (b == null) {
      if (states.size() >= usual + MOST_STATES && now - forgotAt > REST_MEMORY_MS) {
        forgotAt = now;
        states.values().removeIf(Backend::forgettable);
      }
      b = new Backend(slot, index.cold(slot, settings.rules().warmUpMs(), now) ? 0 : 1);
      // It has been listed since the start, as good as always: what comes later is cold at first.
      b.answeredAt = startedAt;
      states.put(slot, b);
    }
    return b;
  }

  /**
   * Drops one that is gone, unless an attempt is out there; true when it need not be looked at
   * again.
   */
  private boolean forget(int slot) {
    if (!index.isUsed(slot) || index.phase(slot) != EndpointState.REMOVED) {
      return true;
    }
    if (states.containsKey(slot) && !states.get(slot).out.isEmpty()) {
      return false;
    }
    states.remove(slot);
    index.remove(slot);
    return true;
  }

  /**
   * The most promising of a few backends drawn by chance (power of two choices): with many
   * gateways, equal stale reports would send all to the same one. Rests are ignored where all drawn
   * rest.
   */
  private Backend pick(Job job) {
    boolean bound = job.keyedTo != null && job.type.deduplicationScope() != DeduplicationScope.ALL;
    OrderedSlots among = bound ? groupOf(job) : index.ranked();
    int kept = bound ? among.size() : usual;
    int wanted =
        (int) Math.max(2, Math.ceil(FLEET_CANDIDATES / Math.max(2, settings.gatewayCount())));
    Backend best = bestOf(among, kept, job, wanted, false);
    best =
        best != null || bound
            ? best
            : bestOf(index.serving(), index.serving().size(), job, wanted, false);
    return best != null ? best : bestOf(among, kept, job, wanted, true);
  }

  /** Those that drop the request's repeats. */
  private OrderedSlots groupOf(Job job) {
    Backend first = job.keyedTo;
    return job.type.deduplicationScope() == DeduplicationScope.ZONE
        ? index.inZone(first.zone)
        : index.inCell(first.zone, first.cell);
  }

  /** Chooses among the first so many in an order. */
  private Backend bestOf(OrderedSlots among, int size, Job job, int wanted, boolean ignoreRest) {
    Backend best = null;
    double bestWait = Double.POSITIVE_INFINITY;
    boolean all = size <= wanted;
    int draws = all ? size : 3 * wanted;
    for (int i = 0, found = 0; i < draws && found < wanted; i++) {
      Backend b = state(among.get(all ? i : context.nextRandom(size)));
      if (!usable(b, job, ignoreRest)) {
        continue;
      }
      found++;
      double w = b.wait(job) * (1 + SPREAD * context.nextRandom()) * (b == job.lastBackend ? 4 : 1);
      if (w < bestWait) {
        bestWait = w;
        best = b;
      }
    }
    return best;
  }

  private boolean usable(Backend b, Job job, boolean ignoreRest) {
    boolean trialBarred =
        b.trial && (!b.out.isEmpty() || job.type.idempotency() == Idempotency.NOT_IDEMPOTENT);
    boolean resting =
        !ignoreRest && (now < b.restUntil || trialBarred || b.nearFailing(now) > FAILING_SHARE);
    return !index.hasLeft(b.slot)
        && now >= b.fullUntil
        && !resting
        && (!b.cold(settings.rules(), now) || coldRoom(b));
  }

  /**
   * Guards a backend that has just started, for whatever cause: it gets no more than its present
   * part of what a warm one gets from here, attempts of every kind included, or of what a single
   * core does, shared by all gateways, where none is warm or this gateway is new. A token that is
   * not used within the span in which a cold backend's load counts lapses, so that what the
   * gateways have saved up cannot come all at once. Harm: slower use of a fleet that comes back.
   */
  private boolean coldRoom(Backend b) {
    double floor = 1000 / Math.max(1, fleetService) / settings.gatewayCount();
    double rate = Math.max(sendsPerBackend(), floor) * b.warmShare(settings.rules(), now);
    double lapsed = 1 + rate * settings.rules().overloadWindowMs() / 1000;
    b.coldTokens = (b.coldTokens + rate * (now - b.coldAt) / 1000) % lapsed;
    b.coldAt = now;
    return b.coldTokens >= 1;
  }

  private double sendsPerBackend() {
    if (now - warmAt > 500) {
      warm = index.warm(settings.rules().warmUpMs(), now);
      warmAt = now;
    }
    return warm == 0 ? 0 : sendRate * Math.exp((sendsAt - now) / PRESSURE_LIFE_MS) / warm;
  }

  private void learn(Backend b, Attempt attempt, AttemptEnded e) {
    LoadReport load = e.loadReport();
    if (load != null && !Double.isNaN(load.inFlight())) {
      b.reported = load.inFlight();
      b.reportedOwn = b.out.size();
      b.reportedAt = now;
    }
    boolean bad =
        switch (e.status()) {
          case ERROR, RESET, CONNECT_FAILED -> true;
          case TIMED_OUT, CANCELLED ->
              b.answeredAt <= attempt.sentAt && attempt.sentAt > wakeUpTimer.stalledUntilMs();
          default -> false;
        };
    double forget = b.remembered();
    if (answers(e.status())) {
      b.answeredAt = now;
      b.answeredSentAt = Math.max(b.answeredSentAt, attempt.sentAt);
    }
    if (e.status() == Status.OK || bad) {
      b.failing *= forget;
      b.failing += NEWEST * ((bad ? 1 : 0) - b.failing);
    }
    reach(b.zoneReach, attempt, e.status(), bad);
    reach(b.cellReach, attempt, e.status(), bad);
    if (e.status() == Status.OK) {
      trust(b, attempt);
      b.trial = false;
      b.rests = b.failing < FAILING_SHARE / 4 ? 0 : b.rests;
      double service =
          load != null && !Double.isNaN(load.serviceMs()) ? load.serviceMs() : e.latencyMs();
      double known = b.serviceMs();
      b.service = known + NEWEST / 2 * (service - known);
      fleetService += NEWEST / 10 * (service - fleetService);
    } else if (e.status() == Status.REJECTED) {
      b.fullUntil = now + 2 * fleetService;
    } else if (bad) {
      if (e.status() == Status.CONNECT_FAILED && !b.cold(settings.rules(), now)) {
        b.coldAt = b.doubtedAt = now;
        b.coldTokens = context.nextRandom();
        takeForStarted(b, now);
      }
      if (b.failing > FAILING_SHARE || b.trial) {
        b.restUntil =
            now + REST_MS * (1 << Math.min(b.rests, 3)) * (1 + 0.3 * context.nextRandom());
        b.rests++;
        b.trial = true;
      }
    }
  }

  /**
   * Any answer shows that its group is there, one of an error too: that tells of the backend alone.
   * A lost attempt tells of the group only while nobody there has answered since. Guards against
   * leaving a zone or a cell for a sick or busy backend of it, and, as a gone one never answers,
   * against leaving it for long once it is back. Harm: none known.
   */
  private void reach(Reach group, Attempt attempt, Status status, boolean bad) {
    if (answers(status)) {
      group.answeredAt = now;
      group.lost.add(0, BACK, now);
    } else if (bad && group.answeredAt <= attempt.sentAt) {
      group.lost.add(1, now);
    }
  }

  /** A spoilt answer tells that the backend works. */
  private static boolean answers(Status status) {
    return status == Status.OK
        || status == Status.ERROR
        || status == Status.REJECTED
        || status == Status.MALFORMED_RESPONSE;
  }

  /**
   * A backend that looked restarted and then answers what was sent before that has not restarted:
   * nothing outlives its process. Guards against connections that fail for any other cause, of
   * which a few would leave the whole fleet taken for cold. Harm: none known, as the list's word on
   * a start stays.
   */
  private void trust(Backend b, Attempt attempt) {
    if (attempt.sentAt < b.doubtedAt) {
      takeForStarted(b, b.toldStart);
      b.doubtedAt = Double.NEGATIVE_INFINITY;
      warmAt = Double.NEGATIVE_INFINITY;
    }
  }

  /** An attempt may still be out at one that has been replaced since: the index has the newer. */
  private void takeForStarted(Backend b, double startedMs) {
    b.startedMs = startedMs;
    if (states.get(b.slot) == b) {
      index.start(b.slot, startedMs, settings.rules().warmUpMs(), now);
    }
  }

  // ---- Attempts ----

  /** A request taken and not yet finally answered. */
  private final class Job extends JobState {
    final QuotaReservation quota;
    Attempt live;
    Backend keyedTo, lastBackend;

    Job(RequestReceived request, RequestClass type, QuotaReservation quota) {
      super(
          request,
          type,
          request.capabilities() == null ? settings.capabilities() : request.capabilities(),
          now);
      this.quota = quota;
    }
  }

  private final LinkedHashMap<String, Job> open = new LinkedHashMap<>();
  private final Map<String, Attempt> attempts = new HashMap<>();
  private final double retriesSaved;
  private double retryTokens;

  /** A class not in the settings is treated as one that must never run twice. */
  private RequestClass type(RequestReceived r) {
    double left = r.deadlineAtMs() - now;
    return r.requestClass() != null
        ? r.requestClass()
        : new RequestClass(
            "",
            1,
            0,
            left / 2,
            left,
            Idempotency.NOT_IDEMPOTENT,
            DeduplicationScope.CELL,
            0,
            false);
  }

  private void onRequest(RequestReceived r) {
    RequestClass type = type(r);
    Job job = new Job(r, type, quotaLimiter.open(r, type.priorityWeight()));
    open.put(r.requestId(), job);
    double priorityWeight = job.quota.priorityWeight();
    loadShedder.recordRequest(priorityWeight);
    if (open.size() >= settings.capabilities().maxOpenRequests()
        || late(job)
        || loadShedder.isOverloaded(priorityWeight)) {
      refuse(job, 0);
    } else {
      apply(quotaLimiter.acquire(job.quota), job);
    }
  }

  private void dispatch(Job job) {
    Backend b = pick(job);
    job.held = b == null && !late(job);
    if (b != null) {
      send(job, b);
    } else if (!job.held) {
      giveUp(job);
    }
  }

  private void send(Job job, Backend b) {
    double left = job.giveUpMs - now - GUARD_MS;
    // A repeat that waits for a backend, or for its connection, must not outlast the window of
    // repeats.
    boolean repeat = job.mayHaveRun && job.type.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
    double startMs = repeat ? job.keyedUntil - GUARD_MS - now : Double.POSITIVE_INFINITY;
    int most = Math.min(job.allowed.maxAttempts(), settings.capabilities().maxAttempts());
    if (left <= 0 || startMs <= 0 || job.attempts >= most) {
      giveUp(job);
      return;
    }
    if (b.cold(settings.rules(), now)) {
      b.coldTokens = 0;
    }
    sendRate = sendRate * Math.exp((sendsAt - now) / PRESSURE_LIFE_MS) + 1000 / PRESSURE_LIFE_MS;
    sendsAt = now;
    double spent = job.attempts == 0 ? -RETRY_EARNED : job.unreached ? 0 : 1;
    retryTokens = Math.min(retriesSaved, retryTokens - spent);
    job.unreached = false;
    Attempt attempt = new Attempt(job, job.attempts, b, now);
    job.attempts++;
    job.live = attempt;
    job.lastBackend = b;
    if (!job.coming) {
      count(attempt);
    }
    attempts.put(job.request.requestId() + "#" + attempt.number, attempt);
    out.add(new StartAttempt(job.request.requestId(), b.id, left, startMs));
  }

  /**
   * A request that ended while it waited for the counter must not be sent when the answer comes.
   */
  private void onClientLeft(String id) {
    Job job = open.remove(id);
    if (job != null) {
      quotaLimiter.cancelWait(job.quota);
      refundUnlessAttempted(job);
      if (job.live == null) {
        quotaLimiter.end(job.quota);
      }
    }
  }

  /** It is out from now on: the backend has all of its request. */
  private void count(Attempt attempt) {
    attempt.counted = true;
    quotaLimiter.attemptStarted(attempt.job.quota);
    loadShedder.attemptStarted();
    attempt.backend.out.add(attempt);
  }

  /** The backend begins only now: neither its time nor the request's has counted until here. */
  private void onBodyWhole(Job job, double giveUpMs) {
    job.coming = false;
    job.giveUpMs = giveUpMs;
    job.takenAt = now;
    if (job.live != null) {
      job.live.sentAt = now;
      count(job.live);
    }
  }

  /** The backend has done its work: what follows is a matter of how fast its client reads. */
  private void onStreamBegan(ResponseStarted e) {
    Attempt attempt = attempts.get(e.requestId() + "#" + e.attempt());
    if (attempt != null && !attempt.job.streaming) {
      attempt.job.streaming = true;
      attempt.backend.out.remove(attempt);
      attempt.backend.answeredAt = now;
      attempt.backend.answeredSentAt = Math.max(attempt.backend.answeredSentAt, attempt.sentAt);
      loadShedder.attemptEnded();
    }
  }

  private void onOutcome(AttemptEnded e) {
    Attempt attempt = attempts.remove(e.requestId() + "#" + e.attempt());
    if (attempt == null) {
      return;
    }
    Job job = attempt.job;
    attempt.backend.out.remove(attempt);
    if (attempt.counted) {
      quotaLimiter.attemptEnded(job.quota);
    }
    if (attempt.counted && !job.streaming) {
      loadShedder.attemptEnded();
    }
    loadShedder.recordOutcome(
        e, attempt.sentAt, job.aim(), wakeUpTimer.stalledMsSince(attempt.sentAt), fleetService);
    job.live = job.live == attempt ? null : job.live;
    learn(attempt.backend, attempt, e);
    if (e.status() == Status.OK) {
      quotaLimiter.settle(job.quota, e.chargedUnits());
    }
    job.mayHaveRun |= !e.status().provesNotExecuted();
    if (job.mayHaveRun
        && job.type.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
        && job.keyedTo == null) {
      job.keyedTo = attempt.backend;
      job.keyedUntil = attempt.sentAt + job.type.deduplicationWindowMs();
    }
    // None of these tells of overload, against which the budget of further attempts guards.
    job.unreached =
        e.status() == Status.CONNECT_FAILED
            || e.status() == Status.WRITE_INCOMPLETE
            || e.status() == Status.NOT_SENT
            || e.status() == Status.MALFORMED_RESPONSE;
    job.handed |=
        job.handedOn && e.status() != Status.CONNECT_FAILED && e.status() != Status.NOT_SENT;
    if (e.requestFinished()) {
      open.remove(e.requestId());
      quotaLimiter.end(job.quota);
    } else if (open.containsKey(e.requestId())) {
      again(job);
    }
  }

  private void again(Job job) {
    boolean allowed =
        !job.mayHaveRun
            || job.type.idempotency() == Idempotency.IDEMPOTENT
            || job.type.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && now < job.keyedUntil - GUARD_MS;
    double left = job.giveUpMs - now;
    if (job.handed
        || !allowed
        || retryTokens < 1 && !job.unreached
        || left < fleetService / 2 + GUARD_MS) {
      giveUp(job);
    } else {
      dispatch(job);
    }
  }

  /**
   * The final answer when no attempt will follow: a refusal where that promise holds, else a
   * failure.
   */
  private void giveUp(Job job) {
    boolean harmless =
        !job.mayHaveRun
            || job.type.idempotency() == Idempotency.IDEMPOTENT
            || job.type.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && job.type.deduplicationScope() == DeduplicationScope.ALL
                && now < job.keyedUntil;
    if (harmless) {
      refuse(job, 0);
    } else {
      open.remove(job.request.requestId());
      quotaLimiter.end(job.quota);
      out.add(new FailRequest(job.request.requestId()));
    }
  }

  private void refundUnlessAttempted(Job job) {
    if (job.attempts == 0) {
      quotaLimiter.refund(job.quota);
    }
  }

  private void refuse(Job job, double holdOffMs) {
    refundUnlessAttempted(job);
    open.remove(job.request.requestId());
    quotaLimiter.end(job.quota);
    Capabilities a = job.allowed;
    out.add(
        new RejectRequest(
            job.request.requestId(),
            a.retryAfter() ? Math.min(holdOffMs, a.maxRetryAfterMs()) : 0));
  }

  // ---- Timers ----

  private void onWoken(TimerFired e) {
    if (e.timer() == Timer.ENDPOINT_WATCH) {
      out.add(new WatchEndpoints());
    } else if (e.timer() == Timer.ENDPOINT_SWEEP) {
      sweeping = false;
      sweep();
    } else if (wakeUpTimer.isDue(now)) {
      onWakeUp();
    }
  }

  /** After a stall, what came meanwhile is read first: it may have the replies waited for. */
  private void onWakeUp() {
    if (stalled()) {
      arm(AFTER_STALL_MS);
      return;
    }
    List.copyOf(open.values()).forEach(this::look);
    arm(open.isEmpty() ? PULSE_MS : TICK_MS);
  }

  private void arm(double delayMs) {
    wakeUpTimer.schedule(now + delayMs);
    out.add(new ScheduleTimer(now + delayMs, Timer.REQUEST_CHECK));
  }

  private boolean stalled() {
    return wakeUpTimer.isStalled(now);
  }

  /** Keeps every request moving: no wait for the counter or for a backend outlasts its bound. */
  private void look(Job job) {
    double waited = now - job.takenAt;
    boolean late = late(job);
    if (job.live != null) {
      abandonSilent(job);
    } else if (job.quota.isAwaitingCounter() && (late || waited > COUNT_WAIT_OF_AIM * job.aim())) {
      apply(quotaLimiter.stopWaiting(job.quota), job);
    } else if (job.held && (late || waited > HOLD_OF_AIM * job.aim())) {
      giveUp(job);
    } else if (job.held) {
      dispatch(job);
    }
  }

  /** True when the next look would come too late for an answer in time. */
  private boolean late(Job job) {
    return now + GUARD_MS + TICK_MS >= job.giveUpMs;
  }

  /**
   * Takes an attempt back from a backend that has answered nothing since it was sent, or already
   * one that was sent later, if a second fits. Guards against dead, cut off and stalled backends,
   * and against answers lost on their way from a backend that works. Harm: one slow request looks
   * the same; budgeted.
   */
  private void abandonSilent(Job job) {
    Attempt a = job.live;
    double patience = job.aim() * FIRST_TRY_OF_AIM;
    boolean passedOver = a.backend.answeredSentAt > a.sentAt + patience;
    if ((passedOver || a.backend.answeredAt <= a.sentAt)
        && now - a.sentAt > patience
        && !job.abandoned
        && !job.streaming
        && !job.handedOn
        && job.allowed.cancellation()
        && job.type.idempotency() != Idempotency.NOT_IDEMPOTENT
        && retryTokens >= 1) {
      job.abandoned = true;
      out.add(new CancelAttempt(job.request.requestId(), a.number));
    }
  }
}
