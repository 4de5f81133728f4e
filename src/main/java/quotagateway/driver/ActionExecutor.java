package quotagateway.driver;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import quotagateway.backend.Attempt;
import quotagateway.counter.CounterClient;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.CancelReason;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.RejectReason;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.WatchEndpoints;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.transport.EventLog;
import quotagateway.transport.LogEvent;
import quotagateway.transport.MonotonicClock;

/**
 * Executes the policy's actions: responds to clients, starts and cancels attempts, increments the
 * shared counter and schedules timers. Confined to the event loop's thread.
 */
final class ActionExecutor {

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final ActiveRequests requests;
  private final AttemptStarter attempts;
  private final Consumer<Event> events;

  /** Null until the driver is started. */
  private CounterClient counter;

  /**
   * @param events receives the events for the policy
   */
  ActionExecutor(
      EventLoop loop,
      MonotonicClock clock,
      ActiveRequests requests,
      AttemptStarter attempts,
      Consumer<Event> events) {
    this.loop = loop;
    this.clock = clock;
    this.requests = requests;
    this.attempts = attempts;
    this.events = events;
  }

  void setCounter(CounterClient counter) {
    this.counter = counter;
  }

  /**
   * Executes one action of the policy.
   *
   * @param decidedAtMs when the policy returned the action, in milliseconds of the gateway's clock
   */
  void execute(Action action, double decidedAtMs) {
    action.handle(new DecisionHandler(decidedAtMs));
  }

  /** Executes actions that the policy returned at one point in time. */
  private final class DecisionHandler implements Action.Handler<RuntimeException> {
    private final double decidedAtMs;

    DecisionHandler(double decidedAtMs) {
      this.decidedAtMs = decidedAtMs;
    }

    @Override
    public void onStartAttempt(StartAttempt action) {
      attempts.start(action, decidedAtMs);
    }

    @Override
    public void onCancelAttempt(CancelAttempt action) {
      ActiveRequest request = requests.get(action.requestId());
      Attempt attempt = request == null ? null : request.attempt(action.attempt());
      if (attempt != null) {
        attempt.abandon(statusOf(attempt, action.reason()));
      }
    }

    private Status statusOf(Attempt attempt, CancelReason reason) {
      return switch (reason) {
        case NO_RESPONSE -> attempt.statusIfCancelled();
        case RESPONSE_STALLED -> attempt.statusIfResponseStalled();
        case BODY_STALLED -> attempt.statusIfStalled();
      };
    }

    @Override
    public void onRejectRequest(RejectRequest action) {
      ActiveRequest request = requests.get(action.requestId());
      if (request != null && request.finish()) {
        log(LogEvent.REQUEST_REJECTED, request, action.reason())
            .withMs("retry_after_ms", action.retryAfterMs())
            .write();
        request.listener.onRejected(action.retryAfterMs());
        requests.removeIfComplete(request);
      }
    }

    @Override
    public void onFailRequest(FailRequest action) {
      ActiveRequest request = requests.get(action.requestId());
      if (request != null && request.finish()) {
        log(LogEvent.REQUEST_FAILED, request, action.reason()).write();
        request.listener.onFailed();
        requests.removeIfComplete(request);
      }
    }

    private EventLog.Line log(LogEvent event, ActiveRequest request, RejectReason reason) {
      return request.logLine(event, reason.name(), clock.now());
    }

    @Override
    public void onIncrementCounter(IncrementCounter action) {
      counter.increment(action.counterName(), action.amount(), action.ttlMs());
    }

    /**
     * Schedules a timer so that it never fires early: the policy ignores a timer that fires before
     * its time, and no other would follow.
     */
    @Override
    public void onScheduleTimer(ScheduleTimer action) {
      double delayMs = Math.max(0, action.atMs() - clock.now());
      loop.schedule(
          () -> events.accept(new TimerFired(action.timer())),
          (long) Math.ceil(delayMs * 1000) + 1,
          TimeUnit.MICROSECONDS);
    }

    /** Does nothing: the discovery client watches the endpoint list from startup. */
    @Override
    public void onWatchEndpoints(WatchEndpoints action) {}
  }
}
