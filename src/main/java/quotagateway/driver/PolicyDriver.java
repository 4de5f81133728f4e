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
import quotagateway.policy.event.RequestBodyComplete;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.SettingsChanged;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeriodicTask;

/**
 * Delivers events to the policy, one at a time, and executes the actions that it returns, in their
 * order; the only caller of the policy. All on the event loop's thread. Times are in milliseconds
 * of the gateway's clock.
 */
public final class PolicyDriver {

  private static final Logger LOG = Logger.getLogger(PolicyDriver.class.getName());

  /** A timer at which the policy failed fires again after this. */
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

  /** A driver of the policy, whose attempts go to the backends. */
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
   * @param known the endpoint list as this gateway last had it
   */
  public void start(CounterClient counter, EndpointUpdate known) {
    executor.useCounter(counter);
    double decidedAtMs = clock.now();
    for (Action action : policy.start(decidedAtMs)) {
      executor.execute(action, decidedAtMs);
    }
    deliver(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, known.endpoints()));
    backends.onEndpointsUpdated(known);
  }

  /** Requests that are not over: without a final response, or with an attempt in flight. */
  public int activeRequestCount() {
    return requests.size();
  }

  /** Responses that are being streamed to their clients. */
  public int streamingResponseCount() {
    return attempts.streamingResponses();
  }

  /** Whether a request of that id is not over. */
  public boolean isActive(String id) {
    return requests.contains(id);
  }

  /**
   * Accepts a request, and its body for good. Its deadline is infinite while the body is still
   * coming.
   *
   * @param head as it is forwarded
   * @param listener is notified of the final response
   */
  public void accept(
      RequestReceived received, HttpRequest head, RequestBody body, ResponseListener listener) {
    ActiveRequest request = new ActiveRequest(received, head, body, listener);
    requests.add(request);
    if (body.isComplete()) {
      startDeadlineTimer(request, received.deadlineAtMs());
    }
    deliver(received);
  }

  /** The last byte of a request's body has come, and its deadline is known. */
  public void onBodyComplete(String id, double deadlineAtMs) {
    ActiveRequest request = requests.get(id);
    if (request == null || request.isFinished()) {
      return;
    }
    startDeadlineTimer(request, deadlineAtMs);
    Attempt attempt = request.lastAttemptInFlight();
    if (attempt != null) {
      backends.limitTime(attempt, deadlineAtMs - request.bodyCompleteAtMs());
    }
    deliver(new RequestBodyComplete(id, deadlineAtMs));
  }

  private void startDeadlineTimer(ActiveRequest request, double deadlineAtMs) {
    request.startDeadlineTimer(loop, clock.now(), deadlineAtMs, () -> fail(request));
  }

  /** The client of a request has closed its connection. */
  public void onClientDisconnected(String id) {
    ActiveRequest request = requests.get(id);
    if (request == null) {
      return;
    }
    boolean wasOpen = request.finish();
    if (!request.body.isComplete() || request.isStreaming()) {
      // There is nobody to send the rest of the body, or to take the rest of the response.
      request.cancelAttempts();
    } else {
      // What is written may have run: the policy still learns how it ends.
      request.cancelUnwrittenAttempts();
    }
    if (wasOpen) {
      deliver(new ClientDisconnected(id));
    }
    requests.removeIfOver(request);
  }

  /** Other settings hold from now on. */
  public void onSettingsChanged(PolicySettings settings) {
    deliver(new SettingsChanged(settings));
  }

  /** A call to the counter has ended. */
  public void onCounterReplied(CounterReplied reply) {
    deliver(reply);
  }

  /**
   * Discovery has reported endpoints. The policy gets them before the pool: it chooses other
   * backends for attempts that the pool gives up because of them.
   */
  public void onEndpointUpdate(EndpointUpdate update) {
    deliver(new EndpointsUpdated(update.form(), update.endpoints()));
    backends.onEndpointsUpdated(update);
  }

  /** Fails all requests without a final response: the process is about to end. */
  public void failAll() {
    PeriodicTask.forEachIsolated(requests.all(), this::fail);
  }

  private void fail(ActiveRequest request) {
    if (request.finish()) {
      request.listener.onFailed();
      request.cancelUnwrittenAttempts();
      deliver(new ClientDisconnected(request.id()));
      requests.removeIfOver(request);
    }
  }

  /**
   * Delivers an event, or has it wait while another is being worked on.
   *
   * <p>Prevents the policy from being called within a call, as by an attempt that fails at once
   * while its action is executed; its state would be half changed. Cost: none.
   */
  private void deliver(Event event) {
    pendingEvents.add(event);
    if (delivering) {
      return;
    }
    delivering = true;
    try {
      for (Event next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
        decideOn(next);
      }
    } finally {
      delivering = false;
    }
  }

  /**
   * Has the policy decide on an event, and executes its actions.
   *
   * <p>Prevents a fault in the policy, or in one action, from ending the process or the work on the
   * other actions: whatever is thrown is logged, and only the request that it came up with fails.
   */
  private void decideOn(Event event) {
    double decidedAtMs = clock.now();
    List<Action> actions;
    try {
      actions = policy.on(decidedAtMs, event);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "policy failed event=" + event, e);
      recoverFrom(event);
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

  private void recoverFrom(Event event) {
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
      fail(request);
    }
  }
}
