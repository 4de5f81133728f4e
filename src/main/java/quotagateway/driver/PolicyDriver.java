package quotagateway.driver;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import quotagateway.backend.Attempt;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.backend.RequestBody;
import quotagateway.counter.CounterClient;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.action.Action;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.ClientDisconnected;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.ProcessCountChanged;
import quotagateway.policy.event.RequestBodyComplete;
import quotagateway.policy.event.RequestBodyStalled;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.SettingsChanged;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.transport.LogEvent;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeriodicTask;

/**
 * Delivers events to the policy one at a time and executes the returned actions in order. The
 * driver is the only caller of the policy. Confined to the event loop's thread. Times are in
 * milliseconds of the gateway's clock.
 */
public final class PolicyDriver {

  private static final Logger LOG = Logger.getLogger(PolicyDriver.class.getName());

  /** Delay after which a timer event is delivered again if the policy failed on it. */
  private static final long FAILED_TIMER_RETRY_MS = 100;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final GatewayPolicy policy;
  private final BackendConnectionPool backends;
  private final ActiveRequests requests = new ActiveRequests();
  private final AttemptStarter attempts;
  private final ActionExecutor executor;
  private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
  private boolean delivering;

  /**
   * Creates a driver; {@link #start} starts it.
   *
   * @param loop the event loop whose thread owns the driver, the policy and the pool
   * @param clock the clock that gives the policy its time
   * @param policy the policy, which nothing else may call
   * @param backends the pool on which attempts are started
   */
  public PolicyDriver(
      EventLoop loop, MonotonicClock clock, GatewayPolicy policy, BackendConnectionPool backends) {
    this.loop = loop;
    this.clock = clock;
    this.policy = policy;
    this.backends = backends;
    attempts =
        new AttemptStarter(clock, backends, requests, this::deliver, this::onClientDisconnected);
    executor = new ActionExecutor(loop, clock, requests, attempts, this::deliver);
  }

  /**
   * Starts the policy.
   *
   * @param cachedEndpoints the last endpoint list that this gateway knew
   */
  public void start(CounterClient counter, EndpointUpdate cachedEndpoints) {
    executor.setCounter(counter);
    double decidedAtMs = clock.now();
    for (Action action : policy.start(decidedAtMs)) {
      executor.execute(action, decidedAtMs);
    }
    deliver(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, cachedEndpoints.endpoints()));
    backends.onEndpointsUpdated(cachedEndpoints);
  }

  /**
   * Returns the number of active requests: those without a final response or with an attempt in
   * flight.
   */
  public int activeRequestCount() {
    return requests.size();
  }

  /** Returns whether a request with this id is active. */
  public boolean isActive(String id) {
    return requests.contains(id);
  }

  /**
   * Accepts a request and takes ownership of its body. The request's deadline is infinite until its
   * body is complete.
   *
   * @param head the request head to forward
   * @param listener the listener to notify of the final response
   */
  public void accept(
      RequestReceived received, HttpRequest head, RequestBody body, ResponseListener listener) {
    ActiveRequest request = new ActiveRequest(received, head, body, listener);
    request.markAccepted(clock.now());
    requests.add(request);
    if (body.isComplete()) {
      startDeadlineTimer(request, received.deadlineAtMs());
    }
    deliver(received);
  }

  /** Handles the receipt of the last byte of a request's body, which determines the deadline. */
  public void onBodyComplete(String id, double deadlineAtMs) {
    ActiveRequest request = requests.get(id);
    if (request == null || request.isFinished()) {
      return;
    }
    startDeadlineTimer(request, deadlineAtMs);
    Attempt attempt = request.lastAttemptInFlight();
    if (attempt != null) {
      backends.scheduleTimeout(attempt, deadlineAtMs - request.bodyCompleteAtMs());
    }
    deliver(new RequestBodyComplete(id, deadlineAtMs));
  }

  /**
   * Handles a body of which the backend has taken nothing for a while. The policy decides whether
   * its attempt goes on.
   */
  public void onBodyStalled(String id, double stalledMs) {
    ActiveRequest request = requests.get(id);
    if (request == null || request.isFinished()) {
      return;
    }
    if (request.lastAttemptInFlight() == null) {
      onBodyTooLate(id);
    } else {
      deliver(new RequestBodyStalled(id, stalledMs));
    }
  }

  /**
   * Rejects a request whose body waits for its backend for so long that its client could not get a
   * response in time. No backend executes it, as none gets the last byte.
   */
  public void onBodyTooLate(String id) {
    ActiveRequest request = requests.get(id);
    if (request == null || request.isFinished()) {
      return;
    }
    Attempt attempt = request.lastAttemptInFlight();
    if (attempt != null) {
      attempt.abandon(attempt.statusIfStalled());
    }
    // Abandoning the attempt has usually made the policy reject the request.
    if (request.finish()) {
      log(LogEvent.REQUEST_REJECTED, request, "BODY_STALLED");
      request.listener.onRejected(0);
      request.cancelUnwrittenAttempts();
      deliver(new ClientDisconnected(id));
      requests.removeIfComplete(request);
    }
  }

  private void log(LogEvent event, ActiveRequest request, String reason) {
    request.logLine(event, reason, clock.now()).write();
  }

  private void startDeadlineTimer(ActiveRequest request, double deadlineAtMs) {
    request.startDeadlineTimer(loop, clock.now(), deadlineAtMs, () -> fail(request, "DEADLINE"));
  }

  /** Handles the disconnection of a request's client. */
  public void onClientDisconnected(String id) {
    ActiveRequest request = requests.get(id);
    if (request == null) {
      return;
    }
    boolean wasUnfinished = request.finish();
    if (!request.body.isComplete() || request.isStreaming()) {
      // The client can neither send the rest of the body nor receive the rest of the response.
      request.cancelAttempts();
    } else {
      // A written attempt may have been executed. It stays in flight, so that its outcome is
      // reported to the policy.
      request.cancelUnwrittenAttempts();
    }
    if (wasUnfinished || request.isStreaming()) {
      log(
          LogEvent.CLIENT_DISCONNECTED,
          request,
          wasUnfinished ? "BEFORE_RESPONSE" : "DURING_RESPONSE");
    }
    if (wasUnfinished) {
      deliver(new ClientDisconnected(id));
    }
    requests.removeIfComplete(request);
  }

  /** Applies changed settings to later decisions. */
  public void onSettingsChanged(PolicySettings settings) {
    deliver(new SettingsChanged(settings));
  }

  /** Handles the start or the end of another process of this gateway. */
  public void onProcessCountChanged(int processes) {
    deliver(new ProcessCountChanged(processes));
  }

  /** Handles the end of a call to the shared counter. */
  public void onCounterReplied(CounterReplied reply) {
    deliver(reply);
  }

  /**
   * Handles endpoints reported by discovery. The policy is updated before the pool, because it
   * chooses other backends for the attempts that the pool abandons on the update.
   */
  public void onEndpointUpdate(EndpointUpdate update) {
    deliver(new EndpointsUpdated(update.form(), update.endpoints()));
    backends.onEndpointsUpdated(update);
  }

  /** Fails all requests without a final response. Called shortly before the process ends. */
  public void failAll() {
    PeriodicTask.forEachIsolated(requests.all(), request -> fail(request, "SHUTDOWN"));
  }

  /** Fails a request, if it has no final response yet, because memory is exhausted. */
  public void failForOverload(String id) {
    ActiveRequest request = requests.get(id);
    if (request != null) {
      fail(request, "OUT_OF_MEMORY");
    }
  }

  private void fail(ActiveRequest request, String reason) {
    if (request.finish()) {
      log(LogEvent.REQUEST_FAILED, request, reason);
      request.listener.onFailed();
      request.cancelUnwrittenAttempts();
      deliver(new ClientDisconnected(request.id()));
      requests.removeIfComplete(request);
    }
  }

  /**
   * Delivers an event to the policy, or queues it while another event is being processed.
   *
   * <p>Without the queue, the policy could be called re-entrantly while its state is only partly
   * updated, for example when an attempt fails immediately while its action is being executed.
   */
  private void deliver(Event event) {
    pendingEvents.add(event);
    if (delivering) {
      return;
    }
    delivering = true;
    try {
      for (Event next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
        process(next);
      }
    } finally {
      delivering = false;
    }
  }

  /**
   * Passes an event to the policy and executes the returned actions.
   *
   * <p>A runtime exception is logged and does not end the process. If an action throws, the
   * remaining actions are still executed. If the policy throws, the event has no actions: after a
   * received request or an ended attempt, that request fails; a timer event is delivered again;
   * other events are dropped.
   */
  private void process(Event event) {
    double decidedAtMs = clock.now();
    List<Action> actions;
    try {
      actions = policy.on(decidedAtMs, event);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "policy failed event=" + event, e);
      recoverFromFailure(event);
      return;
    }
    for (Action action : actions) {
      try {
        executor.execute(action, decidedAtMs);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "action failed action=" + action, e);
      }
    }
  }

  private void recoverFromFailure(Event event) {
    if (event instanceof RequestReceived received) {
      failIfActive(received.requestId());
    } else if (event instanceof AttemptEnded ended) {
      failIfActive(ended.requestId());
    } else if (event instanceof TimerFired) {
      loop.schedule(() -> deliver(event), FAILED_TIMER_RETRY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void failIfActive(String id) {
    ActiveRequest request = requests.get(id);
    if (request != null) {
      fail(request, "POLICY_FAILED");
    }
  }
}
