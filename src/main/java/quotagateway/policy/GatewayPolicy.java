package quotagateway.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.ServingEndpoints;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.RejectReason;
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
import quotagateway.policy.event.ProcessCountChanged;
import quotagateway.policy.event.RequestBodyComplete;
import quotagateway.policy.event.RequestBodyStalled;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.ResponseProgress;
import quotagateway.policy.event.ResponseStarted;
import quotagateway.policy.event.SettingsChanged;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.quota.CounterReplyDecision;
import quotagateway.policy.quota.QuotaDecision;
import quotagateway.policy.quota.QuotaLimiter;
import quotagateway.policy.retry.RetryBudget;
import quotagateway.policy.retry.RetryPolicy;
import quotagateway.policy.routing.AttemptRecord;
import quotagateway.policy.routing.BackendRouter;
import quotagateway.policy.routing.BackendStatus;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/**
 * Makes all decisions of one gateway: maps each event to actions, in the order of their execution.
 *
 * <p>The policy first checks that enough time remains, that the limit on open requests is not
 * exceeded and that the backends are not overloaded ({@link LoadShedder}), then the customer's
 * quota ({@link QuotaLimiter}). {@link BackendRouter} then selects a backend, and {@link
 * RetryPolicy} decides whether another attempt follows a failed one. Each request gets one final
 * response: a backend's response, a rejection, or a failure.
 *
 * <p>This class is longer than others so that the order of all checks on a request is visible in
 * one place; the checks themselves are implemented in other classes.
 *
 * <p>Each gateway has one instance, called by a single thread. Events carry the time, in Unix
 * milliseconds. No method blocks.
 */
public final class GatewayPolicy {

  /** Interval between checks of open requests, which is short relative to any latency objective. */
  private static final double CHECK_INTERVAL_MS = 25;

  /** Interval between checks without open requests, which serve only to detect stalls. */
  private static final double IDLE_CHECK_INTERVAL_MS = 250;

  /** Delay from the detection of a stall to the check of open requests. */
  private static final double CHECK_AFTER_STALL_MS = 1;

  /**
   * Longest time from receipt that a request waits for the counter, as a fraction of its latency
   * objective. The backends need most of the objective.
   */
  private static final double MAX_COUNTER_WAIT_PER_OBJECTIVE = 0.06;

  /** Longest wait for a usable backend, from receipt, as a fraction of the latency objective. */
  private static final double MAX_BACKEND_WAIT_PER_OBJECTIVE = 0.4;

  private final DecisionContext context;
  private final EndpointIndex index;
  private final LoadShedder loadShedder;
  private final QuotaLimiter quotaLimiter;
  private final BackendRouter router;
  private final RetryPolicy retryPolicy;
  private final AttemptMonitor attemptMonitor;
  private final WakeUpTimer wakeUpTimer = new WakeUpTimer();
  private final OpenRequests openRequests;

  /** Requests by attempt in progress, including requests that a disconnection has closed. */
  private final Map<AttemptKey, OpenRequest> requestsByAttempt = new HashMap<>();

  /** Creates a policy with its own endpoint index that keeps state for any number of customers. */
  public GatewayPolicy(PolicySettings settings, long seed) {
    this(settings, seed, new EndpointIndex(settings.gatewayIndex()), Integer.MAX_VALUE);
  }

  /**
   * Creates a policy that keeps state for a limited number of customers.
   *
   * @param settings the initial settings
   * @param seed the seed of the random number generator
   * @param index an empty index, which only this policy modifies
   * @param maxCustomers most customers to keep state for, besides those with open requests
   */
  public GatewayPolicy(PolicySettings settings, long seed, EndpointIndex index, int maxCustomers) {
    this.index = index;
    context = new DecisionContext(settings, seed);
    loadShedder = new LoadShedder(context, () -> index.serving().size());
    router = new BackendRouter(context, index, loadShedder.attemptsInFlight());
    quotaLimiter =
        new QuotaLimiter(context, new RoutedBackendLoad(router, loadShedder), maxCustomers);
    RetryBudget retryBudget = new RetryBudget(settings.gatewayCount());
    retryPolicy = new RetryPolicy(context, retryBudget);
    attemptMonitor =
        new AttemptMonitor(context, router, retryPolicy, retryBudget, requestsByAttempt.values());
    openRequests = new OpenRequests(context, quotaLimiter, retryPolicy);
  }

  /** Returns a live view of the known endpoints, which is current as of the last event. */
  public ServingEndpoints servingEndpoints() {
    return index;
  }

  /** Returns the number of backends for which a full status is kept. */
  public int trackedBackends() {
    return router.statusCount();
  }

  /** Starts the policy and returns its first actions. Called once, before any event. */
  public List<Action> start(double nowMs) {
    context.start(nowMs);
    scheduleCheck(CHECK_INTERVAL_MS);
    if (context.settings().capabilities().pollsDiscovery()) {
      context.emit(new WatchEndpoints());
    }
    return context.actions();
  }

  /** Processes one event and returns the actions that follow from it, in execution order. */
  public List<Action> on(double nowMs, Event event) {
    context.begin(nowMs);
    wakeUpTimer.detectStall(nowMs);
    if (event instanceof RequestReceived received) {
      onRequestReceived(received);
    } else if (event instanceof RequestBodyComplete complete) {
      onRequestBodyComplete(complete);
    } else if (event instanceof RequestBodyStalled stalled) {
      onRequestBodyStalled(stalled);
    } else if (event instanceof CounterReplied reply) {
      onCounterReplied(reply);
    } else if (event instanceof ResponseProgress progress) {
      onResponseProgress(progress);
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
    } else if (event instanceof ProcessCountChanged changed) {
      quotaLimiter.changeProcesses(changed.processes());
    } else {
      // Unreachable: Event is sealed, and the branches above cover all permitted types.
      throw new IllegalArgumentException("unsupported event type: " + event);
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
    loadShedder.recordRequest(request.reservation.priorityWeight());
    admit(request);
    boolean nextCheckIsTooLate = wakeUpTimer.dueAtMs() > context.nowMs() + CHECK_INTERVAL_MS;
    if (nextCheckIsTooLate && !openRequests.isEmpty()) {
      scheduleCheck(CHECK_INTERVAL_MS);
    }
  }

  private void admit(OpenRequest request) {
    if (openRequests.size() > context.settings().capabilities().maxOpenRequests()) {
      openRequests.reject(request, 0, RejectReason.TOO_MANY_OPEN_REQUESTS);
    } else if (isLastCheck(request)) {
      openRequests.reject(request, 0, RejectReason.NO_TIME_LEFT);
    } else if (loadShedder.isOverloaded(request.reservation.priorityWeight())) {
      openRequests.reject(request, 0, RejectReason.OVERLOADED);
    } else {
      applyQuotaDecision(quotaLimiter.acquire(request.reservation), request);
    }
  }

  private void onCounterReplied(CounterReplied event) {
    Optional<CounterReplyDecision> decision = quotaLimiter.onCounterReplied(event, isStalled());
    if (decision.isPresent()) {
      OpenRequest request = openRequests.get(decision.get().requestId());
      applyQuotaDecision(decision.get().decision(), request);
    }
  }

  /**
   * Acts on a quota decision. A request over quota is forwarded only if its plan earns more than it
   * costs to exceed the quota and the backends have spare capacity. A pending decision needs no
   * action: the counter's reply, or the end of the wait for it, decides the request later.
   */
  private void applyQuotaDecision(QuotaDecision decision, OpenRequest request) {
    if (decision instanceof QuotaDecision.Admitted) {
      forward(request);
    } else if (decision instanceof QuotaDecision.OverQuota overQuota) {
      if (request.reservation.mayExceedQuota() && loadShedder.hasSpareCapacity()) {
        forward(request);
      } else {
        openRequests.reject(request, overQuota.retryAfterMs(), RejectReason.OVER_QUOTA);
      }
    }
  }

  // ---- Attempts ----

  /** Starts an attempt, or waits for a usable backend if time remains for another check. */
  private void forward(OpenRequest request) {
    BackendStatus backend = router.select(request.routing, request.latencyObjectiveMs());
    request.awaitingBackend = backend == null && !isLastCheck(request);
    if (backend != null) {
      startAttempt(request, backend);
    } else if (!request.awaitingBackend) {
      openRequests.rejectOrFail(request, RejectReason.NO_BACKEND);
    }
  }

  private void startAttempt(OpenRequest request, BackendStatus backend) {
    if (!retryPolicy.mayStart(request.attempts, request.deadlineAtMs)) {
      openRequests.rejectOrFail(request, RejectReason.NO_TIME_LEFT);
      return;
    }
    int number = request.attempts.startedCount();
    AttemptRecord attempt = router.startAttempt(request.routing, number, backend);
    retryPolicy.recordStart(request.attempts);
    request.currentAttempt = attempt;
    if (!request.receivingBody) {
      router.attemptReachedBackend(attempt);
      recordAttemptInFlight(request);
    }
    requestsByAttempt.put(new AttemptKey(request.id, number), request);
    context.emit(
        new StartAttempt(
            request.id,
            backend.endpointId(),
            retryPolicy.remainingMs(request.deadlineAtMs),
            retryPolicy.maxStartDelayMs(request.attempts),
            attemptMonitor.mayAwaitConnection(request, backend)));
  }

  /**
   * Starts the time measurement of the request and of its attempt: a backend starts to work on a
   * request only when the body is complete, so the time before does not count as latency.
   */
  private void onRequestBodyComplete(RequestBodyComplete event) {
    OpenRequest request = openRequests.get(event.requestId());
    if (request == null) {
      return;
    }
    request.receivingBody = false;
    request.deadlineAtMs = event.deadlineAtMs();
    request.receivedAtMs = context.nowMs();
    if (request.currentAttempt != null) {
      router.requestBodyComplete(request.currentAttempt);
      recordAttemptInFlight(request);
    }
  }

  private void onRequestBodyStalled(RequestBodyStalled event) {
    OpenRequest request = openRequests.get(event.requestId());
    if (request != null && request.currentAttempt != null) {
      attemptMonitor.checkBody(request, event.stalledMs());
    }
  }

  private void recordAttemptInFlight(OpenRequest request) {
    quotaLimiter.recordAttemptStart(request.reservation);
    loadShedder.recordAttemptStart();
  }

  /**
   * Stops counting the attempt as load of its backend: the backend has done its work, and the time
   * that remains depends on how fast the client reads.
   */
  private void onResponseStarted(ResponseStarted event) {
    OpenRequest request = requestsByAttempt.get(new AttemptKey(event.requestId(), event.attempt()));
    if (request != null && !request.attempts.hasResponseStarted()) {
      request.attempts.recordResponseStart();
      router.responseStarted(request.currentAttempt);
      loadShedder.recordAttemptEnd();
    }
  }

  private void onResponseProgress(ResponseProgress event) {
    OpenRequest request = requestsByAttempt.get(new AttemptKey(event.requestId(), event.attempt()));
    if (request != null) {
      router.responseProgress(request.currentAttempt, event.stalled());
    }
  }

  private void onAttemptEnded(AttemptEnded event) {
    OpenRequest request =
        requestsByAttempt.remove(new AttemptKey(event.requestId(), event.attempt()));
    if (request == null) {
      return;
    }
    AttemptRecord attempt = request.currentAttempt;
    request.currentAttempt = null;
    recordOutcome(request, attempt, event);
    if (event.requestFinished()) {
      openRequests.finish(request);
    } else if (openRequests.contains(request)) {
      retryOrEnd(request);
    }
  }

  /**
   * Reports the outcome of an attempt to the components that base decisions on it. The load shedder
   * is updated before the router because it uses the mean service time that was known while the
   * attempt was in flight.
   */
  private void recordOutcome(OpenRequest request, AttemptRecord attempt, AttemptEnded event) {
    if (attempt.reachedBackend()) {
      quotaLimiter.recordAttemptEnd(request.reservation);
      if (!request.attempts.hasResponseStarted()) {
        loadShedder.recordAttemptEnd();
      }
    }
    loadShedder.recordOutcome(
        event,
        attempt.sentAtMs(),
        request.latencyObjectiveMs(),
        wakeUpTimer.stalledMsSince(attempt.sentAtMs()),
        router.fleetServiceMs());
    router.attemptEnded(attempt, event, wakeUpTimer.stalledUntilMs());
    attemptMonitor.recordOutcome(request, attempt, event);
    if (event.status() == Status.OK) {
      quotaLimiter.settle(request.reservation, event.chargedUnits());
    }
    request.attempts.recordEnd(event.status(), attempt.sentAtMs());
    if (request.attempts.needsDeduplication()) {
      request.routing.bindTo(attempt.backend());
    }
  }

  private void retryOrEnd(OpenRequest request) {
    if (retryPolicy.mayRetry(request.attempts, request.deadlineAtMs, router.fleetServiceMs())) {
      forward(request);
    } else {
      openRequests.rejectOrFail(request, RejectReason.ATTEMPTS_FAILED);
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

  /**
   * Checks all open requests and schedules the next check. After a stall the check is postponed so
   * that the gateway first reads what arrived during the stall, which may be what the requests are
   * waiting for.
   */
  private void checkOpenRequests() {
    if (isStalled()) {
      scheduleCheck(CHECK_AFTER_STALL_MS);
      return;
    }
    openRequests.snapshot().forEach(this::check);
    scheduleCheck(openRequests.isEmpty() ? IDLE_CHECK_INTERVAL_MS : CHECK_INTERVAL_MS);
  }

  /**
   * Has the attempt in flight checked, ends waits that exceed their limits, and otherwise tries
   * again to forward a request that waits for a backend.
   */
  private void check(OpenRequest request) {
    if (request.currentAttempt != null) {
      attemptMonitor.check(request, context.nowMs() + CHECK_INTERVAL_MS);
    } else if (request.reservation.isAwaitingCounter()) {
      if (hasWaitedTooLong(request, MAX_COUNTER_WAIT_PER_OBJECTIVE)) {
        applyQuotaDecision(quotaLimiter.decideWithoutReply(request.reservation), request);
      }
    } else if (request.awaitingBackend) {
      if (hasWaitedTooLong(request, MAX_BACKEND_WAIT_PER_OBJECTIVE)) {
        openRequests.rejectOrFail(request, RejectReason.NO_BACKEND);
      } else {
        forward(request);
      }
    }
  }

  /** Whether a request's wait exceeds its limit, or the next check would be too late. */
  private boolean hasWaitedTooLong(OpenRequest request, double maxWaitPerObjective) {
    double waitedMs = context.nowMs() - request.receivedAtMs;
    return isLastCheck(request) || waitedMs > maxWaitPerObjective * request.latencyObjectiveMs();
  }

  /** Whether the next check would be too late to respond before the request's deadline. */
  private boolean isLastCheck(OpenRequest request) {
    double nextCheckAtMs = context.nowMs() + RetryPolicy.RESPONSE_MARGIN_MS + CHECK_INTERVAL_MS;
    return nextCheckAtMs >= request.deadlineAtMs;
  }

  private void scheduleCheck(double delayMs) {
    double checkAtMs = context.nowMs() + delayMs;
    wakeUpTimer.schedule(checkAtMs);
    context.emit(new ScheduleTimer(checkAtMs, Timer.REQUEST_CHECK));
  }

  private boolean isStalled() {
    return wakeUpTimer.isStalled(context.nowMs());
  }

  /** Replaces the settings; quota usage, backend statistics and open requests are kept. */
  private void onSettingsChanged(PolicySettings newSettings) {
    router.prepareSettings(newSettings);
    context.replaceSettings(newSettings);
    quotaLimiter.applySettings();
  }
}
