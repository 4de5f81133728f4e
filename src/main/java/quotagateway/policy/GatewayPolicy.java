package quotagateway.policy;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
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
import quotagateway.policy.GatewayState.AccountState;
import quotagateway.policy.GatewayState.BackendState;
import quotagateway.policy.GatewayState.GroupReaches;
import quotagateway.policy.GatewayState.JobState;
import quotagateway.policy.GatewayState.Mean;
import quotagateway.policy.GatewayState.Reach;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.action.WatchEndpoints;
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
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
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

  /** Longest window of a count: many refills of any usual quota, so edges are rare. */
  private static final double WINDOW_MS = 25_000;

  /**
   * Up to this many entry points each meets a customer often enough to follow its bucket that long.
   */
  private static final double FOLLOWING = 3;

  /**
   * What a customer is taken to use of its rate before anything is known: most stay well under it.
   */
  private static final double USUAL_USE = 0.5;

  /**
   * Counts estimated to be past the limit by this share of it are not asked for: the answer is
   * known.
   */
  private static final double SURELY_SPENT = 0.5;

  private static final double COUNT_TTL_MS = 60_000;

  /**
   * A count of open requests lasts so long: until then a place is taken that a killed gateway had.
   */
  private static final double OPEN_WINDOW_MS = 10_000;

  /** How often waiting requests are looked at: well under what a person or an aim notices. */
  private static final double TICK_MS = 25;

  /** Without open requests a slow pulse is enough: it shows when this gateway stood still. */
  private static final double PULSE_MS = 250;

  /**
   * A wake-up later than this means that this gateway stood still: far more than any load explains.
   */
  private static final double STALL_MS = 100;

  /**
   * A request waits for the counter at most this share of its aim; the rest is for the backends.
   */
  private static final double COUNT_WAIT_OF_AIM = 0.06;

  /** Calls failing in a row before the counter is taken to be away; fewer is a lost packet. */
  private static final int COUNTER_AWAY_AFTER = 4;

  /**
   * Least spacing of trial calls while the counter is away: of a gateway's, and of the whole
   * fleet's.
   */
  private static final double TRIAL_MS = 250;

  private static final double FLEET_TRIAL_MS = 5;

  /**
   * Multiplicative decrease and additive increase of the share of requests that call, as in TCP.
   */
  private static final double PACE_CUT = 0.7;

  private static final double PACE_STEP = 0.02;

  /**
   * Increase for each second between answers, so that gateways with few calls recover as soon as
   * others.
   */
  private static final double PACE_STEP_PER_S = 0.05;

  private static final double PACE_LEAST = 0.02;

  /**
   * Where calling resumes when an absent counter is back, so that all gateways together do not
   * flood it.
   */
  private static final double PACE_BACK = 0.3;

  /**
   * A customer known to be spent is still asked about this often, as refunds of others may have
   * come.
   */
  private static final double SPENT_RECHECK_MS = 400;

  /**
   * How long the spending of a customer is remembered for its rates: longer than a burst, a few
   * refills.
   */
  private static final double RATE_MEMORY_MS = 5_000;

  /**
   * How long a rarely met customer is taken to go on as last seen: heavy use comes in long spells.
   */
  private static final double SPELL_MS = 15_000;

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

  /**
   * The least promising wait accepted, as shares of the aim, for the least and the most worthy
   * request.
   */
  private static final double PRESSED_LOW = 0.25;

  private static final double PRESSED_HIGH = 0.4;

  /** So much less is accepted for a request that no answer of the counter has confirmed. */
  private static final double UNCONFIRMED = 0.1;

  /**
   * Weight of the newest answer in the fleet's wait: the last twenty count, or the last few
   * seconds.
   */
  private static final double PRESSURE_NEWEST = 0.05;

  private static final double PRESSURE_LIFE_MS = 4_000;

  /** A backend with fewer requests than this, of all gateways, is not taken to queue. */
  private static final double IDLE_HELD = 3;

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
  private final Map<String, Plan> plans = new HashMap<>();
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
    settings.plans().forEach(p -> plans.put(p.name(), p));
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
    noteStall();
    if (event instanceof RequestReceived e) {
      onRequest(e);
      if (wakeAt > now + TICK_MS && !open.isEmpty()) {
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
    plans.clear();
    settings.plans().forEach(p -> plans.put(p.name(), p));
    for (Account a : accounts.values()) {
      Plan p = plans.getOrDefault(a.plan.name(), a.plan);
      if (!p.equals(a.plan)) {
        a.advance();
        a.follow(p);
        a.level = Math.min(a.level, p.burstUnits());
      }
    }
  }

  // ---- Quota ----

  /**
   * What this gateway knows of one customer: a replica of its plan's bucket, fed by the shared
   * totals.
   */
  private final class Account extends AccountState {
    Account(long customer, Plan plan, int gateways) {
      super(customer, plan, Math.max(1, Math.min(gateways, settings.gatewayCount())), now);
      follow(plan);
      phase = Math.floorMod(customer * 0x9E3779B97F4A7C15L, (long) WINDOW_MS);
      level =
          settings.capabilities().sharedCounter()
              ? plan.burstUnits()
              : plan.burstUnits() / this.gateways;
      fillCeiling((now - startedAt) / 1000);
      part = context.nextRandom() * settings.maxRequestUnits();
      // Most customers use little of their cap, so one that is met for the first time is let in.
      openPart = 1;
      othersRate = plan.unitsPerSecond() * (plain ? USUAL_USE : 1 - 1.0 / this.gateways);
    }

    /** Binds it to a plan, which settles the windows of its counts. */
    void follow(Plan followed) {
      plan = followed;
      double refillMs =
          plan.unitsPerSecond() > 0 ? 1000 * plan.burstUnits() / plan.unitsPerSecond() : 0;
      double longest =
          plan.hardLimitUnitsPerSecond() > 0 ? WINDOW_MS : WINDOW_MS * FOLLOWING / gateways;
      windowMs = Math.max(refillMs, Math.min(WINDOW_MS, longest));
      plain = windowMs < 2 * refillMs && settings.capabilities().sharedCounter();
    }

    /**
     * The share of a ceiling for gateways by themselves: all for two, for more a largest request
     * each.
     */
    double ownShare() {
      return Math.min(
          1,
          Math.max(
              2.0 / gateways, gateways * settings.maxRequestUnits() / plan.hardLimitBurstUnits()));
    }

    void fillCeiling(double dt) {
      double burst = plan.hardLimitBurstUnits() + plan.hardLimitSlackUnits() / 2;
      counted =
          Math.min(
              burst * (1 - ownShare()),
              counted + plan.hardLimitUnitsPerSecond() * (1 - ownShare()) * dt);
      own =
          Math.min(
              burst * ownShare() / gateways,
              own + plan.hardLimitUnitsPerSecond() * ownShare() / gateways * dt);
    }

    /** This gateway's even part of the quota: what it may send on unasked. */
    void fillPart(double dt) {
      double most = Math.max(plan.burstUnits() / gateways, settings.maxRequestUnits());
      part = Math.min(most, part + plan.unitsPerSecond() / gateways * dt);
      openPart =
          Math.min(1, openPart + plan.concurrencyLimit() / (fleetService / 1000) / gateways * dt);
    }

    /**
     * Refills to the present; others go on spending as they did, but this gateway keeps its own
     * share.
     */
    void advance() {
      double dt = (now - levelAt) / 1000;
      levelAt = now;
      if (dt <= 0) {
        return;
      }
      fillPart(dt);
      if (plain) {
        expectUse(dt);
        return;
      }
      double least = plan.unitsPerSecond() * 0.05;
      double share = (ownRate + least) / (ownRate + othersRate + least * gateways);
      boolean shared = settings.capabilities().sharedCounter();
      double others =
          shared ? Math.min(othersRate, plan.unitsPerSecond() * (1 - share)) : othersRate;
      double cap = shared ? plan.burstUnits() : plan.burstUnits() / gateways;
      double full = Math.min(cap, level + plan.unitsPerSecond() * dt);
      level = Math.min(cap, level + (plan.unitsPerSecond() - others) * dt);
      assumed += full - level;
      fillCeiling(dt);
    }

    /**
     * Room left in this window, less what the others are expected to use; a new window starts at
     * nought.
     */
    void expectUse(double dt) {
      double begun = now - windowStart(now);
      double span = Math.min(begun, dt * 1000);
      level = span == begun ? plan.burstUnits() : level;
      double usual = USUAL_USE * plan.unitsPerSecond();
      double known = Double.isNaN(syncedAt) ? 0 : Math.exp((syncedAt - now) / SPELL_MS);
      level -= (usual + known * (othersRate - usual)) * span / 1000;
    }

    /**
     * Whether the customer is known to be spent, so that a call would only add to the counter's
     * load.
     */
    boolean surelySpent(double units) {
      boolean told = window == windowNow(now) && seen >= plan.burstUnits();
      return plain
          ? level < (told ? units : -SURELY_SPENT * plan.burstUnits())
          : most() < units && now - syncedAt < SPENT_RECHECK_MS;
    }

    /** The most the bucket can hold if the others have spent nothing since the last answer. */
    double most() {
      return Math.min(plan.burstUnits(), level + assumed) - flying;
    }
  }

  /**
   * One call to the counter: what it adds, and the request that waits for it; place: to an open
   * count.
   */
  private record Call(Account account, long window, double amount, Job job, boolean place) {}

  /**
   * In order of use, so that the longest idle is dropped when another is met: nothing grows for
   * ever.
   */
  private final Map<Long, Account> accounts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Account> e) {
          return now - e.getValue().levelAt > COUNT_TTL_MS && e.getValue().out == 0;
        }
      };

  private final Map<String, ArrayDeque<Call>> calls = new HashMap<>();
  private double pace = 1;
  private double pacedAt = Double.NEGATIVE_INFINITY, trialAt = Double.NEGATIVE_INFINITY, answeredAt;
  private int callsFailed;

  private Account account(RequestReceived r) {
    Account a =
        accounts.computeIfAbsent(
            r.customer(),
            c ->
                new Account(
                    c,
                    plans.getOrDefault(r.planName(), mostCarefulPlan()),
                    r.gatewaysOfCustomer()));
    a.advance();
    return a;
  }

  private Plan mostCarefulPlan() {
    return settings.plans().stream()
        .filter(p -> p.unitsPerSecond() > 0)
        .min(Comparator.comparingDouble(Plan::unitsPerSecond))
        .orElse(new Plan("", 0, 0, 0, 0, 0, 0, 0, 0, 0));
  }

  private void check(Job job) {
    Account a = job.account;
    int most = a.plan.concurrencyLimit();
    // With no more gateways than places an even split holds the limit without a call.
    if (most > 0
        && a.gateways > most
        && a.out < most
        && settings.capabilities().sharedCounter()
        && mayCall()) {
      claim(job);
    } else {
      checkAlone(job);
    }
  }

  /**
   * The limit on open requests by an even split: of the places, and where there are more gateways
   * than those, of how many requests can follow each other in them.
   */
  private void checkAlone(Job job) {
    Account a = job.account;
    int most = a.plan.concurrencyLimit();
    boolean split = most > 0 && a.gateways > most;
    if (most > 0 && a.out >= Math.max(1, most / a.gateways) || split && a.openPart < 1) {
      beyondQuota(job);
    } else {
      a.openPart -= split ? 1 : 0;
      checkRate(job);
    }
  }

  /**
   * Asks for a place among its customer's open requests, which is given back as soon as it has
   * ended.
   */
  private void claim(Job job) {
    job.claiming = true;
    job.claimed = true;
    job.place = job.account.openName((long) Math.floor(now / OPEN_WINDOW_MS));
    add(job.place, new Call(job.account, 0, 1, job, true));
  }

  private void add(String name, Call call) {
    calls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
    out.add(new IncrementCounter(name, call.amount, COUNT_TTL_MS));
  }

  private void onClaimed(Call call, CounterReplied e) {
    Job job = call.job;
    if (job == null) {
      return;
    }
    job.claimed = false;
    job.place = e.status().provesNotExecuted() ? null : job.place;
    if (job.ended) {
      giveBack(job);
    } else if (job.claiming) {
      job.claiming = false;
      if (e.status() != Status.OK) {
        checkAlone(job);
      } else if (e.total() > job.account.plan.concurrencyLimit()) {
        giveBack(job);
        beyondQuota(job);
      } else {
        checkRate(job);
      }
    }
  }

  /**
   * Its end frees its place for others; the answer to a call still under way tells whether it had
   * one.
   */
  private void ended(Job job) {
    job.ended = true;
    job.claiming = false;
    giveBack(job);
  }

  private void giveBack(Job job) {
    if (job.place != null && !job.claimed) {
      add(job.place, new Call(job.account, 0, -1, null, true));
      job.place = null;
    }
  }

  private void checkRate(Job job) {
    Account a = job.account;
    double units = job.request.units();
    if (a.plan.unitsPerSecond() <= 0 && a.plan.hardLimitUnitsPerSecond() <= 0) {
      dispatch(job);
    } else if (!settings.capabilities().sharedCounter()) {
      decide(job, false);
    } else if (a.surelySpent(units)) {
      beyondQuota(job);
    } else if (mayCall()) {
      call(a, job);
    } else {
      decide(job, false);
    }
  }

  /**
   * Whether to call the counter. Guards against a slow, full, silent or refusing counter, and any
   * other cause of unanswered calls: fewer call, and spaced trials remain. Harm: where calls fail
   * for a cause that calling less does not help, customers are held to the replica for longer than
   * needed.
   */
  private boolean mayCall() {
    if (callsFailed >= COUNTER_AWAY_AFTER) {
      if (now < trialAt) {
        return false;
      }
      trialAt = nextTrial();
      return true;
    }
    return context.nextRandom() < pace;
  }

  private void call(Account a, Job job) {
    double units = job.request.units();
    job.waiting = true;
    job.called = true;
    job.asked = a.plain || a.level >= units ? units : 0;
    Call call = new Call(a, a.windowNow(now), job.asked + a.owed, job, false);
    add(a.name(call.window), call);
    a.flying += job.asked;
    a.owed = 0;
  }

  private void onCounted(CounterReplied e) {
    ArrayDeque<Call> queue = calls.get(e.counterName());
    if (queue == null) {
      return;
    }
    Call call = queue.poll();
    if (queue.isEmpty()) {
      calls.remove(e.counterName());
    }
    Account a = call.account;
    Job job = call.job;
    a.advance();
    if (call.place) {
      judge(e);
      onClaimed(call, e);
      return;
    }
    if (cutOff(e.status()) && job.waiting && !job.reread) {
      readAgain(e.counterName(), call);
      return;
    }
    a.flying -= job.asked;
    judge(e);
    boolean added = job.reread || !e.status().provesNotExecuted();
    if (e.status() == Status.OK) {
      observe(a, call, e.total());
    } else if (added) {
      a.maybe += call.amount;
    } else {
      a.owed += call.amount - job.asked;
    }
    job.called = false;
    if (!job.waiting) {
      a.owed += (job.inQuota ? job.request.units() : 0) - (added ? job.asked : 0);
      return;
    }
    job.waiting = false;
    job.added = added && job.asked > 0;
    decide(job, e.status() == Status.OK);
  }

  /**
   * Its connection failed the call: that tells nothing of the counter, which may have added the
   * amount.
   */
  private static boolean cutOff(Status status) {
    return status == Status.MALFORMED_RESPONSE || status == Status.RESET;
  }

  /**
   * Reads the total once more, as if the answer came late; its growth shows whether the amount was
   * added. Guards against connections that die or bring junk, while the counter works and could be
   * asked over another. Harm: one more call for each that was cut off.
   */
  private void readAgain(String name, Call call) {
    call.job.reread = true;
    call.account.maybe += call.amount;
    add(name, new Call(call.account, call.window, 0, call.job, false));
  }

  private void judge(CounterReplied e) {
    if (!stalled() && e.status() != Status.RESET || e.status() == Status.OK) {
      judgeCounter(e);
    }
  }

  private void judgeCounter(CounterReplied e) {
    boolean away = callsFailed >= COUNTER_AWAY_AFTER;
    callsFailed = e.status() == Status.OK ? 0 : callsFailed + 1;
    if (e.status() != Status.OK) {
      pace *= now - pacedAt > settings.capabilities().counterTimeoutMs() ? PACE_CUT : 1;
      trialAt = callsFailed == COUNTER_AWAY_AFTER ? nextTrial() : trialAt;
    } else if (away) {
      pace = PACE_BACK;
    } else {
      pace += PACE_STEP + PACE_STEP_PER_S * Math.min(1, (now - answeredAt) / 1000);
    }
    pacedAt =
        e.status() == Status.OK || now - pacedAt <= settings.capabilities().counterTimeoutMs()
            ? pacedAt
            : now;
    answeredAt = e.status() == Status.OK ? now : answeredAt;
    pace = Math.min(1, Math.max(PACE_LEAST, pace));
  }

  /**
   * Trials of the whole fleet are bounded, and spread by chance; each gateway's come within
   * seconds.
   */
  private double nextTrial() {
    double spacing = Math.max(TRIAL_MS, FLEET_TRIAL_MS * settings.gatewayCount());
    return now + spacing * (0.75 + 0.5 * context.nextRandom());
  }

  /**
   * Replays the growth of the shared total into the replica. Growth beyond what was added here is
   * others'. A total that halves is an emptied counter, not fresh quota: the replica keeps its
   * level.
   */
  private void observe(Account a, Call call, double total) {
    boolean fresh = a.window != call.window;
    double growth = fresh ? total : total - a.seen;
    boolean carried = !Double.isNaN(a.syncedAt);
    double started = call.window * a.windowMs - a.phase;
    double since = now - (fresh || !carried ? started : a.syncedAt);
    double others = growth - call.amount;
    if (!fresh && others < 0 && total < a.seen / 2) {
      others = Math.max(0, total - call.amount);
    }
    double mine = Math.min(a.maybe, Math.max(0, others));
    double missing = a.maybe - mine;
    others -= mine;
    a.maybe = 0;
    a.window = call.window;
    a.seen = total;
    if (a.plain) {
      a.level =
          call.window == a.windowNow(now)
              ? a.plan.burstUnits() - (total - call.job.asked)
              : a.level;
      learnRates(a, Math.max(0, others), since);
      return;
    }
    a.owed += missing;
    if (carried) {
      double replaced = a.assumed * Math.min(1, since / Math.max(1, now - a.syncedAt));
      a.level = Math.min(a.plan.burstUnits(), a.level + replaced - others);
    } else {
      a.level =
          Math.min(a.plan.burstUnits(), a.level + a.plan.unitsPerSecond() * since / 1000 - others);
    }
    a.counted -= others;
    a.fillCeiling(0);
    a.assumed = 0;
    learnRates(a, others, since);
  }

  private void learnRates(Account a, double others, double sinceMs) {
    double age = Double.isNaN(a.syncedAt) ? sinceMs : now - a.syncedAt;
    double keep = Math.exp(-(a.plain ? age : sinceMs) / (a.plain ? SPELL_MS / 3 : RATE_MEMORY_MS));
    double seconds = Math.max(0.001, sinceMs / 1000);
    a.othersRate = Math.max(0, keep * a.othersRate + (1 - keep) * others / seconds);
    a.ownRate = keep * a.ownRate + (1 - keep) * a.ownSince / seconds;
    a.ownSince = 0;
    a.syncedAt = now;
  }

  /**
   * By the answered total, or else by the replica with the share of the refill this gateway is used
   * to.
   */
  private void decide(Job job, boolean answered) {
    Account a = job.account;
    double units = job.request.units();
    double room = answered || a.plain ? a.level : a.level - a.flying + (job.called ? job.asked : 0);
    boolean unasked = settings.capabilities().sharedCounter() && !answered;
    boolean within = room >= units && (!unasked || !a.plain || a.part >= units);
    boolean barred = a.plan.unitsPerSecond() > 0 && !within || unasked && pressed(job, UNCONFIRMED);
    if (barred || !holdsCeiling(a, units, answered)) {
      a.owed -= job.added && !a.plain ? units : 0;
      job.added = false;
      beyondQuota(job);
      return;
    }
    a.level -= units;
    a.part = Math.max(0, a.part - units);
    a.ownSince += units;
    job.inQuota = true;
    a.owed += job.added || job.called ? 0 : units;
    dispatch(job);
  }

  /**
   * A hard ceiling: sends that the counter answered for come out of the part that is counted, all
   * others out of this gateway's own part, so the sum holds whatever the counter answers or
   * forgets.
   */
  private boolean holdsCeiling(Account a, double units, boolean answered) {
    if (a.plan.hardLimitUnitsPerSecond() <= 0) {
      return true;
    }
    boolean together = answered && a.counted >= units;
    boolean alone = !together && a.own >= units;
    a.counted -= together ? units : 0;
    a.own -= alone ? units : 0;
    return together || alone;
  }

  /**
   * Beyond its quota a request goes on only where the plan earns by it, under no ceiling, fleet
   * idle.
   */
  private void beyondQuota(Job job) {
    Plan plan = job.account.plan;
    if (plan.overQuotaRevenue() > plan.overQuotaCost()
        && plan.hardLimitUnitsPerSecond() <= 0
        && expectedOfAim() < PRESSED_LOW - UNCONFIRMED) {
      dispatch(job);
    } else {
      double missing = job.request.units() - job.account.level;
      // Where only open attempts are bounded, one of them ends after about a service time.
      refuse(
          job,
          plan.unitsPerSecond() > 0
              ? Math.max(TICK_MS, missing / plan.unitsPerSecond() * 1000)
              : fleetService);
    }
  }

  private void settle(Job job, double trueUnits) {
    Account a = job.account;
    if (job.inQuota && trueUnits > 0) {
      double gap = trueUnits - job.request.units();
      a.advance();
      if (gap < 0 && a.plan.hardLimitUnitsPerSecond() > 0 && a.ownShare() < 1) {
        double covered = Math.min(-gap, a.own);
        a.own -= covered;
        gap = -covered;
      }
      a.level -= gap;
      a.owed += gap;
    }
  }

  private void takeBack(Job job) {
    if (job.inQuota && job.attempts == 0) {
      job.account.level += job.request.units();
      job.account.owed -= job.request.units();
      job.inQuota = false;
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
          outMean.value / Math.max(1, index.serving().size()) * (settings.gatewayCount() - 1);
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
      new GroupReaches(() -> new Reach(new Mean(NEWEST, PRESSURE_LIFE_MS, startedAt)));
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
              b.answeredAt <= attempt.sentAt && attempt.sentAt > stalledUntil;
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
    final Account account;
    Attempt live;
    Backend keyedTo, lastBackend;

    Job(RequestReceived request, RequestClass type, Account account) {
      super(
          request,
          type,
          request.capabilities() == null ? settings.capabilities() : request.capabilities(),
          now);
      this.account = account;
    }

    double worth() {
      return type.priorityWeight() * account.plan.priorityFactor();
    }
  }

  private final LinkedHashMap<String, Job> open = new LinkedHashMap<>();
  private final Map<String, Attempt> attempts = new HashMap<>();
  private final double retriesSaved;
  private double retryTokens;
  private double meanWorth = Double.NaN;
  private final Mean latencyOfAim = new Mean(PRESSURE_NEWEST, PRESSURE_LIFE_MS, now);
  private final Mean outThen = new Mean(PRESSURE_NEWEST, PRESSURE_LIFE_MS, now);
  private final Mean outMean = new Mean(0.3, 1000, now);
  private double okAt = Double.NEGATIVE_INFINITY;
  private int outNow;

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
    outMean.add(outNow, now);
    Job job = new Job(r, type(r), account(r));
    open.put(r.requestId(), job);
    double worth = job.worth();
    meanWorth = Double.isNaN(meanWorth) ? worth : meanWorth + 0.01 * (worth - meanWorth);
    if (open.size() >= settings.capabilities().maxOpenRequests() || late(job) || pressed(job, 0)) {
      refuse(job, 0);
    } else {
      check(job);
    }
  }

  /**
   * Whether the fleet is too full for this request to be answered within its aim; worthy ones stay
   * longer. Guards against overload of any cause. Harm: after a stall, the first answers must
   * correct the figure.
   */
  private boolean pressed(Job job, double less) {
    double rank = Math.min(1, Math.max(0, job.worth() / Math.max(1e-9, meanWorth) - 0.5));
    return expectedOfAim() > PRESSED_LOW + (PRESSED_HIGH - PRESSED_LOW) * rank - less;
  }

  /**
   * Expected wait as a share of the aim: as lately measured, scaled by how many more are out by
   * now.
   */
  private double expectedOfAim() {
    double held = settings.gatewayCount() / (double) Math.max(1, index.serving().size());
    double more = IDLE_HELD / Math.max(1, index.serving().size());
    double ratio =
        (outMean.value * held + more) / (Math.max(outThen.value * held, IDLE_HELD) + more);
    return latencyOfAim.fresh(now) * ratio;
  }

  /**
   * The time that this gateway itself stood still is not the fleet's. An attempt that timed out
   * while others were answered lost its answer: that tells of no wait. Harm: a few slow backends
   * stay unseen here.
   */
  private void measureWait(Attempt attempt, AttemptEnded e) {
    boolean lost = e.status() == Status.TIMED_OUT && okAt > attempt.sentAt;
    okAt = e.status() == Status.OK ? now : okAt;
    if (e.status() == Status.OK
        || e.status() == Status.REJECTED
        || e.status() == Status.TIMED_OUT && !lost) {
      double stood = Math.max(0, stalledUntil - Math.max(stalledFrom, attempt.sentAt));
      double waited =
          e.status() == Status.REJECTED
              ? 1
              : Math.max(fleetService, e.latencyMs() - stood) / attempt.job.aim();
      latencyOfAim.add(Math.min(2, waited), now);
      outThen.add(outNow, now);
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
      job.waiting = false;
      takeBack(job);
      if (job.live == null) {
        ended(job);
      }
    }
  }

  /** It is out from now on: the backend has all of its request. */
  private void count(Attempt attempt) {
    attempt.counted = true;
    attempt.job.account.out++;
    outNow++;
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
      outNow--;
    }
  }

  private void onOutcome(AttemptEnded e) {
    Attempt attempt = attempts.remove(e.requestId() + "#" + e.attempt());
    if (attempt == null) {
      return;
    }
    Job job = attempt.job;
    attempt.backend.out.remove(attempt);
    job.account.out -= attempt.counted ? 1 : 0;
    outNow -= attempt.counted && !job.streaming ? 1 : 0;
    measureWait(attempt, e);
    job.live = job.live == attempt ? null : job.live;
    learn(attempt.backend, attempt, e);
    if (e.status() == Status.OK) {
      settle(job, e.chargedUnits());
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
      ended(job);
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
      ended(job);
      out.add(new FailRequest(job.request.requestId()));
    }
  }

  private void refuse(Job job, double holdOffMs) {
    takeBack(job);
    open.remove(job.request.requestId());
    ended(job);
    Capabilities a = job.allowed;
    out.add(
        new RejectRequest(
            job.request.requestId(),
            a.retryAfter() ? Math.min(holdOffMs, a.maxRetryAfterMs()) : 0));
  }

  // ---- Timers ----

  private double wakeAt, stalledFrom, stalledUntil = Double.NEGATIVE_INFINITY;

  private void onWoken(TimerFired e) {
    if (e.timer() == Timer.ENDPOINT_WATCH) {
      out.add(new WatchEndpoints());
    } else if (e.timer() == Timer.ENDPOINT_SWEEP) {
      sweeping = false;
      sweep();
    } else if (now >= wakeAt) {
      (stalled() ? List.<Job>of() : List.copyOf(open.values())).forEach(this::look);
      arm(stalled() ? 1 : open.isEmpty() ? PULSE_MS : TICK_MS);
    }
  }

  private void arm(double ms) {
    wakeAt = now + ms;
    out.add(new ScheduleTimer(wakeAt, Timer.REQUEST_CHECK));
  }

  /**
   * A wake-up that is long overdue shows that this gateway stood still. What came meanwhile is read
   * first, and no wait seen over that time is booked to a backend or the counter. Harm: none but a
   * later look.
   */
  private void noteStall() {
    if (now - wakeAt > STALL_MS) {
      stalledUntil = now;
      stalledFrom = wakeAt;
      wakeAt = now;
    }
  }

  private boolean stalled() {
    return now <= stalledUntil;
  }

  /** Keeps every request moving: no wait for the counter or for a backend outlasts its bound. */
  private void look(Job job) {
    double waited = now - job.takenAt;
    boolean late = late(job);
    if (job.live != null) {
      abandonSilent(job);
    } else if (job.claiming && (late || waited > COUNT_WAIT_OF_AIM * job.aim())) {
      job.claiming = false;
      checkAlone(job);
    } else if (job.waiting && (late || waited > COUNT_WAIT_OF_AIM * job.aim())) {
      job.waiting = false;
      decide(job, false);
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
