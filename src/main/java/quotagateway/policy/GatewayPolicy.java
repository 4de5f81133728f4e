package quotagateway.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.ServingEndpoints;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.action.WatchEndpoints;
import quotagateway.policy.admission.LoadShedder;
import quotagateway.policy.context.DecisionContext;
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
import quotagateway.policy.quota.BackendLoad;
import quotagateway.policy.quota.CounterReplyDecision;
import quotagateway.policy.quota.QuotaDecision;
import quotagateway.policy.quota.QuotaLimiter;
import quotagateway.policy.retry.AttemptTimeout;
import quotagateway.policy.retry.RetryBudget;
import quotagateway.policy.retry.RetryPolicy;
import quotagateway.policy.routing.AttemptRecord;
import quotagateway.policy.routing.BackendRouter;
import quotagateway.policy.routing.BackendStatus;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/**
 * All decisions of one gateway: takes an event, and gives the actions that follow from it, in the
 * order in which they are to be done.
 *
 * <p>Of each request it asks, in this order: is there time and room for it, and are the backends
 * not overloaded ({@link LoadShedder})? Is it within its customer's quota ({@link QuotaLimiter})?
 * Which backend can serve it ({@link BackendRouter})? After an attempt that failed: may there be
 * another one ({@link RetryPolicy})? Each request gets one final response: that of a backend, a
 * rejection, or a failure.
 *
 * <p>Longer than other classes, so that the order of all questions about a request stands on one
 * page; the answers are given elsewhere.
 *
 * <p>One instance for each gateway, called by one thread. Time comes with the events, in Unix
 * milliseconds; nothing here blocks.
 */
public final class GatewayPolicy {

  /** Between checks of open requests: short against any latency objective. */
  private static final double CHECK_INTERVAL_MS = 25;

  /** Between checks without open requests, which only show when this gateway stalled. */
  private static final double IDLE_CHECK_INTERVAL_MS = 250;

  /** After a stall, until the open requests are checked. */
  private static final double CHECK_AFTER_STALL_MS = 1;

  /**
   * Of the latency objective, how long after its receipt a request waits for the counter at most;
   * backends need most of it.
   */
  private static final double MAX_COUNTER_WAIT_PER_OBJECTIVE = 0.06;

  /**
   * Of the latency objective, how long after its receipt a request waits for any backend that can
   * be used at most.
   */
  private static final double MAX_BACKEND_WAIT_PER_OBJECTIVE = 0.4;

  private final DecisionContext context;
  private final EndpointIndex index;
  private final LoadShedder loadShedder;
  private final QuotaLimiter quotaLimiter;
  private final BackendRouter router;
  private final RetryPolicy retryPolicy;
  private final AttemptTimeout attemptTimeout;
  private final WakeUpTimer wakeUpTimer = new WakeUpTimer();
  private final OpenRequests openRequests;

  /**
   * Requests by their attempts in progress; those whose clients have gone are not open any more.
   */
  private final Map<AttemptKey, OpenRequest> requestsByAttempt = new HashMap<>();

  /**
   * A policy with an endpoint index of its own.
   *
   * @param settings in force at the start
   * @param seed of all random draws
   */
  public GatewayPolicy(PolicySettings settings, long seed) {
    this(settings, seed, new EndpointIndex(settings.gatewayIndex()));
  }

  /**
   * A policy that keeps its endpoints in the given index, which nobody else changes.
   *
   * @param settings in force at the start
   * @param seed of all random draws
   * @param index empty
   */
  public GatewayPolicy(PolicySettings settings, long seed, EndpointIndex index) {
    this.index = index;
    context = new DecisionContext(settings, seed);
    loadShedder = new LoadShedder(context, () -> index.serving().size());
    router = new BackendRouter(context, index, loadShedder.attemptsInFlight());
    quotaLimiter = new QuotaLimiter(context, new BackendLoadForQuota());
    RetryBudget retryBudget = new RetryBudget(settings.gatewayCount());
    retryPolicy = new RetryPolicy(context, retryBudget);
    attemptTimeout = new AttemptTimeout(retryBudget);
    openRequests = new OpenRequests(context, quotaLimiter, retryPolicy);
  }

  /** What is known of the endpoints, always as of the last event. */
  public ServingEndpoints servingEndpoints() {
    return index;
  }

  /** How many backends a full status is kept of. */
  public int trackedBackends() {
    return router.statusCount();
  }

  /** Starts the policy; to be called once, before any event. */
  public List<Action> start(double nowMs) {
    context.start(nowMs);
    scheduleCheck(CHECK_INTERVAL_MS);
    if (context.settings().capabilities().pollsDiscovery()) {
      context.emit(new WatchEndpoints());
    }
    return context.actions();
  }

  /** Takes one event and gives what to do, in order. */
  public List<Action> on(double nowMs, Event event) {
    context.begin(nowMs);
    wakeUpTimer.detectStall(nowMs);
    if (event instanceof RequestReceived received) {
      onRequestReceived(received);
    } else if (event instanceof RequestBodyComplete complete) {
      onRequestBodyComplete(complete);
    } else if (event instanceof CounterReplied reply) {
      onCounterReplied(reply);
    } else if (event instanceof ResponseStarted started) {
      onResponseStarted(started);
    } else if (event instanceof AttemptEnded ended) {
      onAttemptEnded(ended);
    } else if (event instanceof ClientDisconnected disconnected) {
      openRequests.clientDisconnected(disconnected.requestId());
    } else if (event instanceof EndpointsUpdated updated) {
      router.updateEndpoints(updated);
    } else if (event instanceof TimerFired fired) {
      onTimerFired(fired);
    } else if (event instanceof SettingsChanged changed) {
      onSettingsChanged(changed.settings());
    } else {
      // Not reached: Event is sealed, and all its kinds are above.
      throw new IllegalArgumentException("unknown kind of event: " + event);
    }
    return context.actions();
  }

  // ---- Admission ----

  private void onRequestReceived(RequestReceived event) {
    RequestClass requestClass = OpenRequest.classOf(event, context.nowMs());
    Capabilities capabilities = event.capabilities();
    if (capabilities == null) {
      capabilities = context.settings().capabilities();
    }
    OpenRequest request =
        new OpenRequest(
            event,
            requestClass,
            capabilities,
            quotaLimiter.open(event, requestClass.priorityWeight()),
            context.nowMs());
    openRequests.add(request);
    loadShedder.recordRequest(request.quota.priorityWeight());
    admit(request);
    boolean nextCheckIsFar = wakeUpTimer.dueAtMs() > context.nowMs() + CHECK_INTERVAL_MS;
    if (nextCheckIsFar && !openRequests.isEmpty()) {
      scheduleCheck(CHECK_INTERVAL_MS);
    }
  }

  private void admit(OpenRequest request) {
    if (openRequests.size() > context.settings().capabilities().maxOpenRequests()
        || isLastCheck(request)
        || loadShedder.isOverloaded(request.quota.priorityWeight())) {
      openRequests.reject(request, 0);
    } else {
      apply(quotaLimiter.acquire(request.quota), request);
    }
  }

  private void onCounterReplied(CounterReplied event) {
    Optional<CounterReplyDecision> decided = quotaLimiter.onCounterReplied(event, isStalled());
    if (decided.isPresent()) {
      OpenRequest request = openRequests.get(decided.get().requestId());
      apply(decided.get().decision(), request);
    }
  }

  /**
   * Over quota, a request is forwarded only where its plan earns by it and backends are idle. While
   * the decision is pending nothing is done: the counter's reply, or the end of the wait, decides.
   */
  private void apply(QuotaDecision decision, OpenRequest request) {
    if (decision instanceof QuotaDecision.Admitted) {
      forward(request);
    } else if (decision instanceof QuotaDecision.OverQuota overQuota) {
      if (request.quota.mayExceedQuota() && loadShedder.hasSpareCapacity()) {
        forward(request);
      } else {
        openRequests.reject(request, overQuota.retryAfterMs());
      }
    }
  }

  /** What quota decisions depend on beside quotas. */
  private final class BackendLoadForQuota implements BackendLoad {
    @Override
    public double meanServiceMs() {
      return router.fleetServiceMs();
    }

    @Override
    public boolean isOverloadedForUnconfirmed(double priorityWeight) {
      return loadShedder.isOverloadedForUnconfirmed(priorityWeight);
    }
  }

  // ---- Attempts ----

  /**
   * Starts an attempt; without a backend that can be used the request waits while there is time.
   */
  private void forward(OpenRequest request) {
    BackendStatus backend = router.select(request.routing, request.latencyObjectiveMs());
    request.awaitingBackend = backend == null && !isLastCheck(request);
    if (backend != null) {
      startAttempt(request, backend);
    } else if (!request.awaitingBackend) {
      openRequests.giveUp(request);
    }
  }

  private void startAttempt(OpenRequest request, BackendStatus backend) {
    if (!retryPolicy.mayStart(request.attempts, request.deadlineAtMs)) {
      openRequests.giveUp(request);
      return;
    }
    int number = request.attempts.started();
    AttemptRecord attempt = router.startAttempt(request.routing, number, backend);
    retryPolicy.recordStart(request.attempts);
    request.liveAttempt = attempt;
    if (!request.receivingBody) {
      router.attemptReachedBackend(attempt);
      recordInFlight(request);
    }
    requestsByAttempt.put(new AttemptKey(request.id, number), request);
    context.emit(
        new StartAttempt(
            request.id,
            backend.endpointId(),
            retryPolicy.remainingMs(request.deadlineAtMs),
            retryPolicy.maxStartDelayMs(request.attempts)));
  }

  /** Its backend begins only now: neither its time nor the request's has counted until here. */
  private void onRequestBodyComplete(RequestBodyComplete event) {
    OpenRequest request = openRequests.get(event.requestId());
    if (request == null) {
      return;
    }
    request.receivingBody = false;
    request.deadlineAtMs = event.deadlineAtMs();
    request.receivedAtMs = context.nowMs();
    if (request.liveAttempt != null) {
      router.requestBodyComplete(request.liveAttempt);
      recordInFlight(request);
    }
  }

  private void recordInFlight(OpenRequest request) {
    quotaLimiter.attemptStarted(request.quota);
    loadShedder.attemptStarted();
  }

  /** The backend has done its work: what follows depends on how fast the client reads. */
  private void onResponseStarted(ResponseStarted event) {
    OpenRequest request = requestsByAttempt.get(new AttemptKey(event.requestId(), event.attempt()));
    if (request != null && !request.attempts.hasResponseStarted()) {
      request.attempts.recordResponseStart();
      router.responseStarted(request.liveAttempt);
      loadShedder.attemptEnded();
    }
  }

  private void onAttemptEnded(AttemptEnded event) {
    OpenRequest request =
        requestsByAttempt.remove(new AttemptKey(event.requestId(), event.attempt()));
    if (request == null) {
      return;
    }
    AttemptRecord attempt = request.liveAttempt;
    request.liveAttempt = null;
    recordOutcome(request, attempt, event);
    if (event.requestFinished()) {
      openRequests.finish(request);
    } else if (openRequests.contains(request)) {
      retryOrGiveUp(request);
    }
  }

  /**
   * Each class learns from an attempt what it decides by. The load shedder comes before the router,
   * as it measures by the mean service time that was known while the attempt was in flight.
   */
  private void recordOutcome(OpenRequest request, AttemptRecord attempt, AttemptEnded event) {
    if (attempt.reachedBackend()) {
      quotaLimiter.attemptEnded(request.quota);
      if (!request.attempts.hasResponseStarted()) {
        loadShedder.attemptEnded();
      }
    }
    loadShedder.recordOutcome(
        event,
        attempt.sentAtMs(),
        request.latencyObjectiveMs(),
        wakeUpTimer.stalledMsSince(attempt.sentAtMs()),
        router.fleetServiceMs());
    router.attemptEnded(attempt, event, wakeUpTimer.stalledUntilMs());
    if (event.status() == Status.OK) {
      quotaLimiter.settle(request.quota, event.chargedUnits());
    }
    request.attempts.recordEnd(event.status(), attempt.sentAtMs());
    if (request.attempts.needsDeduplication()) {
      request.routing.bindTo(attempt.backend());
    }
  }

  private void retryOrGiveUp(OpenRequest request) {
    if (retryPolicy.mayRetry(request.attempts, request.deadlineAtMs, router.fleetServiceMs())) {
      forward(request);
    } else {
      openRequests.giveUp(request);
    }
  }

  // ---- Timers and settings ----

  private void onTimerFired(TimerFired event) {
    switch (event.timer()) {
      case ENDPOINT_WATCH -> context.emit(new WatchEndpoints());
      case ENDPOINT_SWEEP -> router.continueSweep();
      case REQUEST_CHECK -> {
        if (wakeUpTimer.isDue(context.nowMs())) {
          checkOpenRequests();
        }
      }
    }
  }

  /** After a stall, what came meanwhile is read first: it may be what the requests wait for. */
  private void checkOpenRequests() {
    if (isStalled()) {
      scheduleCheck(CHECK_AFTER_STALL_MS);
      return;
    }
    openRequests.snapshot().forEach(this::check);
    scheduleCheck(openRequests.isEmpty() ? IDLE_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS);
  }

  /** Keeps a request moving: no wait for the counter or for a backend outlasts its bound. */
  private void check(OpenRequest request) {
    if (request.liveAttempt != null) {
      cancelIfLost(request);
    } else if (request.quota.isAwaitingCounter()) {
      if (hasWaited(request, MAX_COUNTER_WAIT_PER_OBJECTIVE)) {
        apply(quotaLimiter.stopWaiting(request.quota), request);
      }
    } else if (request.awaitingBackend) {
      if (hasWaited(request, MAX_BACKEND_WAIT_PER_OBJECTIVE)) {
        openRequests.giveUp(request);
      } else {
        forward(request);
      }
    }
  }

  /** Cancels an attempt that looks lost, if another one may follow. */
  private void cancelIfLost(OpenRequest request) {
    double lossTimeoutMs = attemptTimeout.lossTimeoutMs(request.latencyObjectiveMs());
    AttemptRecord attempt = request.liveAttempt;
    if (attempt.looksLost(lossTimeoutMs, context.nowMs())
        && attemptTimeout.mayCancel(request.attempts)) {
      request.attempts.recordCancellation();
      context.emit(new CancelAttempt(request.id, attempt.number()));
    }
  }

  private boolean hasWaited(OpenRequest request, double objectives) {
    double waitedMs = context.nowMs() - request.receivedAtMs;
    return isLastCheck(request) || waitedMs > objectives * request.latencyObjectiveMs();
  }

  /** Whether the next check would come too late for a response in time. */
  private boolean isLastCheck(OpenRequest request) {
    double nextCheckAtMs = context.nowMs() + RetryPolicy.RESPONSE_MARGIN_MS + CHECK_INTERVAL_MS;
    return nextCheckAtMs >= request.deadlineAtMs;
  }

  private void scheduleCheck(double delayMs) {
    double atMs = context.nowMs() + delayMs;
    wakeUpTimer.schedule(atMs);
    context.emit(new ScheduleTimer(atMs, Timer.REQUEST_CHECK));
  }

  private boolean isStalled() {
    return wakeUpTimer.isStalled(context.nowMs());
  }

  /** Counts, what was learned of backends, and open requests live on under new settings. */
  private void onSettingsChanged(PolicySettings changed) {
    router.prepareSettings(changed);
    context.replaceSettings(changed);
    quotaLimiter.applySettings();
  }
}
