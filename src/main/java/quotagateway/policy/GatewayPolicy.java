package quotagateway.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.ServingEndpoints;
import quotagateway.policy.GatewayState.AccountState;
import quotagateway.policy.GatewayState.JobState;
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
import quotagateway.policy.context.ExponentialMean;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.ClientDisconnected;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.RequestBodyComplete;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.ResponseStarted;
import quotagateway.policy.event.SettingsChanged;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.retry.AttemptTimeout;
import quotagateway.policy.retry.RetryBudget;
import quotagateway.policy.retry.RetryPolicy;
import quotagateway.policy.routing.Attempt;
import quotagateway.policy.routing.BackendRouter;
import quotagateway.policy.routing.BackendStatus;
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

  /** Wait for any usable backend this share of the aim before refusing. */
  private static final double HOLD_OF_AIM = 0.4;

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
    router = new BackendRouter(context, index, outMean);
    RetryBudget budget = new RetryBudget(settings.gatewayCount());
    retries = new RetryPolicy(context, budget);
    attemptTimeout = new AttemptTimeout(budget);
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
      router.updateEndpoints(e);
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
    router.prepareSettings(changed);
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
          Math.min(
              1,
              openPart
                  + plan.concurrencyLimit() / (router.fleetServiceMs() / 1000) / gateways * dt);
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
              : router.fleetServiceMs());
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
    if (job.inQuota && job.attempts.started() == 0) {
      job.account.level += job.request.units();
      job.account.owed -= job.request.units();
      job.inQuota = false;
    }
  }

  // ---- Attempts ----

  /** How many backends' full state is kept. */
  public int fullStates() {
    return router.statusCount();
  }

  /** A request taken and not yet finally answered. */
  private final class Job extends JobState {
    final Account account;
    Attempt live;

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
  private final Map<AttemptKey, Job> attempts = new HashMap<>();
  private final EndpointIndex index;
  private final BackendRouter router;
  private final RetryPolicy retries;
  private final AttemptTimeout attemptTimeout;
  private double meanWorth = Double.NaN;
  private final ExponentialMean latencyOfAim =
      new ExponentialMean(PRESSURE_NEWEST, PRESSURE_LIFE_MS, now);
  private final ExponentialMean outThen =
      new ExponentialMean(PRESSURE_NEWEST, PRESSURE_LIFE_MS, now);
  private final ExponentialMean outMean = new ExponentialMean(0.3, 1000, now);
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
        (outMean.value() * held + more) / (Math.max(outThen.value() * held, IDLE_HELD) + more);
    return latencyOfAim.fadedValue(now) * ratio;
  }

  /**
   * The time that this gateway itself stood still is not the fleet's. An attempt that timed out
   * while others were answered lost its answer: that tells of no wait. Harm: a few slow backends
   * stay unseen here.
   */
  private void measureWait(Job job, Attempt attempt, AttemptEnded e) {
    boolean lost = e.status() == Status.TIMED_OUT && okAt > attempt.sentAtMs();
    okAt = e.status() == Status.OK ? now : okAt;
    if (e.status() == Status.OK
        || e.status() == Status.REJECTED
        || e.status() == Status.TIMED_OUT && !lost) {
      double stood = Math.max(0, stalledUntil - Math.max(stalledFrom, attempt.sentAtMs()));
      double waited =
          e.status() == Status.REJECTED
              ? 1
              : Math.max(router.fleetServiceMs(), e.latencyMs() - stood) / job.aim();
      latencyOfAim.add(Math.min(2, waited), now);
      outThen.add(outNow, now);
    }
  }

  /** Starts an attempt; without a usable backend the request waits, or ends if it is too late. */
  private void dispatch(Job job) {
    BackendStatus backend = router.select(job.routing, job.aim());
    job.held = backend == null && !late(job);
    if (backend != null) {
      send(job, backend);
    } else if (!job.held) {
      giveUp(job);
    }
  }

  private void send(Job job, BackendStatus backend) {
    if (!retries.mayStart(job.attempts, job.giveUpMs)) {
      giveUp(job);
      return;
    }
    Attempt attempt = router.startAttempt(job.routing, job.attempts.started(), backend);
    retries.recordStart(job.attempts);
    job.live = attempt;
    if (!job.coming) {
      router.attemptReachedBackend(attempt);
      countAttempt(job);
    }
    String id = job.request.requestId();
    attempts.put(new AttemptKey(id, attempt.number()), job);
    out.add(
        new StartAttempt(
            id,
            backend.endpointId(),
            retries.remainingMs(job.giveUpMs),
            retries.maxStartDelayMs(job.attempts)));
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

  /** A backend has all of the request: its attempt is in flight from now on. */
  private void countAttempt(Job job) {
    job.account.out++;
    outNow++;
  }

  /** The backend begins only now: neither its time nor the request's has counted until here. */
  private void onBodyWhole(Job job, double giveUpMs) {
    job.coming = false;
    job.giveUpMs = giveUpMs;
    job.takenAt = now;
    if (job.live != null) {
      router.requestBodyComplete(job.live);
      countAttempt(job);
    }
  }

  /** The backend has done its work: what follows is a matter of how fast its client reads. */
  private void onStreamBegan(ResponseStarted e) {
    Job job = attempts.get(new AttemptKey(e.requestId(), e.attempt()));
    if (job != null && !job.attempts.hasResponseStarted()) {
      job.attempts.recordResponseStart();
      router.responseStarted(job.live);
      outNow--;
    }
  }

  private void onOutcome(AttemptEnded e) {
    Job job = attempts.remove(new AttemptKey(e.requestId(), e.attempt()));
    if (job == null) {
      return;
    }
    Attempt attempt = job.live;
    job.live = null;
    if (attempt.reachedBackend()) {
      job.account.out--;
      if (!job.attempts.hasResponseStarted()) {
        outNow--;
      }
    }
    measureWait(job, attempt, e);
    router.attemptEnded(attempt, e, stalledUntil);
    if (e.status() == Status.OK) {
      settle(job, e.chargedUnits());
    }
    job.attempts.recordEnd(e.status(), attempt.sentAtMs());
    if (job.attempts.needsDeduplication()) {
      job.routing.bindTo(attempt.backend());
    }
    if (e.requestFinished()) {
      open.remove(e.requestId());
      ended(job);
    } else if (open.containsKey(e.requestId())) {
      retryOrGiveUp(job);
    }
  }

  private void retryOrGiveUp(Job job) {
    if (retries.mayRetry(job.attempts, job.giveUpMs, router.fleetServiceMs())) {
      dispatch(job);
    } else {
      giveUp(job);
    }
  }

  /**
   * The final answer when no attempt will follow: a refusal where that promise holds, else a
   * failure.
   */
  private void giveUp(Job job) {
    if (retries.mayReject(job.attempts)) {
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
      router.continueSweep();
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
      cancelIfLost(job);
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
    return now + RetryPolicy.RESPONSE_MARGIN_MS + TICK_MS >= job.giveUpMs;
  }

  /** Cancels an attempt that looks lost, if another may follow. */
  private void cancelIfLost(Job job) {
    double patienceMs = attemptTimeout.patienceMs(job.aim());
    if (job.live.looksLost(patienceMs, now) && attemptTimeout.mayCancel(job.attempts)) {
      job.attempts.recordCancellation();
      out.add(new CancelAttempt(job.request.requestId(), job.live.number()));
    }
  }
}
