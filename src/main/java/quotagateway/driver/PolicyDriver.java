package quotagateway.driver;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import quotagateway.policy.event.RequestBodyComplete;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.ResponseStarted;
import quotagateway.policy.event.SettingsChanged;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeriodicTask;
import quotagateway.transport.ProtocolHeaders;

/**
 * Takes events to the module and its actions to the sockets; the only caller of the module. Holds
 * the table of requests taken and attempts out. All on the event loop's thread.
 */
public final class PolicyDriver {

  private static final Logger LOG = Logger.getLogger(PolicyDriver.class.getName());

  /**
   * The last moment for a final answer, ahead of the client's own: later than any answer of the
   * module.
   */
  private static final double LAST_CALL_MS = 6;

  /** A module that failed on its wake-up is woken again after this. */
  private static final long WAKE_AGAIN_MS = 100;

  /** Who waits for the one final answer. */
  public interface Client {
    /** Whether it has closed its connection, as far as this machine can know by now. */
    boolean isDisconnected();

    void onResponse(FullHttpResponse answer);

    /** An answer begins that comes in pieces, by and by, from the attempt. */
    void onResponseStart(HttpResponse head, Attempt from);

    /** The next piece; true while more can be taken now. */
    boolean onResponseContent(HttpContent piece);

    /** No more of that answer comes; where it is not whole, the client must see that. */
    void onResponseEnd(boolean whole);

    void onRejected(double holdOffMs);

    void onFailed();
  }

  /** One request from its taking until it is answered and none of its attempts is out. */
  private final class Live {
    final RequestReceived request;
    final HttpRequest head;
    final RequestBody body;
    final Client client;
    final List<Attempt> attempts = new ArrayList<>(1);

    /** When the body was whole. */
    double wholeAt;

    double giveUpMs;
    Future<?> lastCall;
    boolean finished;

    /** The answer is on its way to the client, in pieces; and when it began. */
    boolean begun;

    double begunAt;
    int out;

    Live(RequestReceived request, HttpRequest head, RequestBody body, Client client) {
      this.request = request;
      this.head = head;
      this.body = body;
      this.client = client;
    }

    /** From now on the request's time is known. */
    void limit(double untilMs) {
      giveUpMs = untilMs;
      wholeAt = clock.now();
      double left = Math.max(0, untilMs - LAST_CALL_MS - wholeAt);
      lastCall = loop.schedule(() -> fail(this), (long) (left * 1000), TimeUnit.MICROSECONDS);
    }

    /** Marks the final answer; true for the first caller only. */
    boolean finish() {
      if (finished) {
        return false;
      }
      finished = true;
      if (lastCall != null) {
        lastCall.cancel(false);
      }
      return true;
    }

    /**
     * Nobody waits any more: what still waits for a connection is not sent on; all: nor what is
     * out.
     */
    void callOff(boolean all) {
      List.copyOf(attempts).stream()
          .filter(a -> all || !a.written)
          .forEach(a -> a.abandon(a.cancelled()));
    }

    /**
     * A request stays in the table while an attempt of it is out: the module still gets that
     * outcome.
     */
    void forgetIfDone() {
      if (finished && out == 0 && live.remove(request.requestId(), this)) {
        body.release();
      }
    }
  }

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final GatewayPolicy policy;
  private final BackendConnectionPool backends;
  private CounterClient counter;
  private final Map<String, Live> live = new HashMap<>();
  private final ArrayDeque<Event> inbox = new ArrayDeque<>();
  private int streamingResponseCount;
  private boolean delivering;

  public PolicyDriver(
      EventLoop loop, MonotonicClock clock, GatewayPolicy policy, BackendConnectionPool backends) {
    this.loop = loop;
    this.clock = clock;
    this.policy = policy;
    this.backends = backends;
  }

  public void start(CounterClient counter, EndpointUpdate known) {
    this.counter = counter;
    double decidedAt = clock.now();
    policy.start(decidedAt).forEach(action -> execute(action, decidedAt));
    deliver(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, known.endpoints()));
    backends.onRoster(known);
  }

  public int activeRequestCount() {
    return live.size();
  }

  /** How many answers are being passed on. */
  public int streamingResponseCount() {
    return streamingResponseCount;
  }

  public boolean isActive(String id) {
    return live.containsKey(id);
  }

  /**
   * Takes a request, and its body for good; without a time to give up at while the body is still
   * coming.
   */
  public void accept(RequestReceived request, HttpRequest head, RequestBody body, Client client) {
    Live r = new Live(request, head, body, client);
    live.put(request.requestId(), r);
    r.giveUpMs = request.deadlineAtMs();
    if (body.whole()) {
      r.limit(request.deadlineAtMs());
    }
    deliver(request);
  }

  /** The last byte of the request has come. */
  public void completeBody(String id, double giveUpMs) {
    Live r = live.get(id);
    if (r != null && !r.finished) {
      r.limit(giveUpMs);
      if (r.out > 0) {
        backends.limit(r.attempts.get(r.attempts.size() - 1), giveUpMs - r.wholeAt);
      }
      deliver(new RequestBodyComplete(id, giveUpMs));
    }
  }

  public void disconnectClient(String id) {
    Live r = live.get(id);
    if (r == null) {
      return;
    }
    boolean open = r.finish();
    // Of a body still coming, or an answer being passed on, there is nobody to send the rest or to
    // take it.
    r.callOff(!r.body.whole() || r.begun);
    if (open) {
      deliver(new ClientDisconnected(id));
    }
    r.forgetIfDone();
  }

  public void onSettingsChanged(PolicySettings settings) {
    deliver(new SettingsChanged(settings));
  }

  public void onCounterReplied(CounterReplied counted) {
    deliver(counted);
  }

  /**
   * The module hears it first: it chooses anew for attempts that the pool gives up because of it.
   */
  public void onEndpointUpdate(EndpointUpdate news) {
    deliver(new EndpointsUpdated(news.form(), news.endpoints()));
    backends.onRoster(news);
  }

  /** Fails all that is still unanswered: the process is about to end. */
  public void failAll() {
    PeriodicTask.forEachIsolated(live.values(), this::fail);
  }

  /**
   * The net under the module: a request that it left unanswered fails while its client still
   * listens.
   */
  private void fail(Live r) {
    if (r.finish()) {
      r.client.onFailed();
      r.callOff(false);
      deliver(new ClientDisconnected(r.request.requestId()));
      r.forgetIfDone();
    }
  }

  /**
   * Events that come up while an event is worked on wait for their turn: the module is not
   * re-entered.
   */
  private void deliver(Event event) {
    inbox.add(event);
    if (delivering) {
      return;
    }
    delivering = true;
    try {
      for (Event e = inbox.poll(); e != null; e = inbox.poll()) {
        step(e);
      }
    } finally {
      delivering = false;
    }
  }

  private void step(Event event) {
    List<Action> actions;
    double decidedAt = clock.now();
    try {
      actions = policy.on(decidedAt, event);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "the module failed on " + event, e);
      recover(event);
      return;
    }
    for (Action action : actions) {
      try {
        execute(action, decidedAt);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "could not do " + action, e);
      }
    }
  }

  /** A fault in the module costs the request it came up with, never the process. */
  private void recover(Event event) {
    if (event instanceof RequestReceived e) {
      failId(e.requestId());
    } else if (event instanceof AttemptEnded e) {
      failId(e.requestId());
    } else if (event instanceof TimerFired) {
      loop.schedule(() -> deliver(event), WAKE_AGAIN_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void failId(String id) {
    Live r = live.get(id);
    if (r != null) {
      fail(r);
    }
  }

  private void execute(Action action, double decidedAt) {
    if (action instanceof StartAttempt a) {
      send(a, decidedAt);
    } else if (action instanceof IncrementCounter a) {
      counter.increment(a.counterName(), a.amount(), a.ttlMs());
    } else if (action instanceof ScheduleTimer a) {
      wake(a);
    } else if (action instanceof RejectRequest a) {
      Live r = live.get(a.requestId());
      if (r != null && r.finish()) {
        r.client.onRejected(a.retryAfterMs());
        r.forgetIfDone();
      }
    } else if (action instanceof FailRequest a) {
      Live r = live.get(a.requestId());
      if (r != null && r.finish()) {
        r.client.onFailed();
        r.forgetIfDone();
      }
    } else if (action instanceof CancelAttempt a) {
      Live r = live.get(a.requestId());
      if (r != null && a.attempt() < r.attempts.size()) {
        Attempt off = r.attempts.get(a.attempt());
        off.abandon(off.cancelled());
      }
    }
    // FollowRoster needs nothing: the list is watched from the start.
  }

  /**
   * Never early: the module lets a wake-up pass that comes before its time, and then none would
   * follow.
   */
  private void wake(ScheduleTimer a) {
    double wait = Math.max(0, a.atMs() - clock.now());
    loop.schedule(
        () -> deliver(new TimerFired(a.timer())),
        (long) Math.ceil(wait * 1000) + 1,
        TimeUnit.MICROSECONDS);
  }

  /**
   * The module's times count from its decision; a batch of actions may take long on a share of a
   * core.
   */
  private void send(StartAttempt a, double decidedAt) {
    Live r = live.get(a.requestId());
    if (r == null || r.finished) {
      int attempt = r == null ? 0 : r.attempts.size();
      deliver(
          new AttemptEnded(
              a.requestId(), attempt, a.endpointId(), Status.NOT_SENT, 0, true, 0, null));
      return;
    }
    int number = r.attempts.size();
    double sentAt = clock.now();
    double lateness = sentAt - decidedAt;
    double timeout = a.timeoutMs() > 0 ? a.timeoutMs() - lateness : r.giveUpMs - sentAt;
    Attempt attempt =
        new Attempt(r.head, r.body, timeout) {
          private double units;

          @Override
          public boolean wanted() {
            if (!ended() && !r.finished && r.client.isDisconnected()) {
              disconnectClient(r.request.requestId());
            }
            return super.wanted();
          }

          @Override
          public boolean onBegin(HttpResponse answer) {
            units = units(answer.headers().get(ProtocolHeaders.UNITS_CHARGED));
            return attemptBegan(r, number, answer, this);
          }

          @Override
          public boolean onPiece(HttpContent piece) {
            return r.client.onResponseContent(piece);
          }

          @Override
          public void onEnd(Status status, FullHttpResponse answer) {
            units =
                answer == null ? units : units(answer.headers().get(ProtocolHeaders.UNITS_CHARGED));
            double until = begun() && r.begun ? r.begunAt : clock.now();
            attemptEnded(
                r,
                number,
                a.endpointId(),
                status,
                Math.max(0, until - Math.max(sentAt, r.wholeAt)),
                units,
                answer);
          }
        };
    r.attempts.add(attempt);
    r.out++;
    backends.start(a.endpointId(), attempt, a.maxStartDelayMs() - lateness);
  }

  private boolean attemptBegan(Live r, int number, HttpResponse answer, Attempt attempt) {
    if (!r.finish()) {
      return false;
    }
    r.begun = true;
    r.begunAt = clock.now();
    streamingResponseCount++;
    r.client.onResponseStart(answer, attempt);
    deliver(new ResponseStarted(r.request.requestId(), number));
    return true;
  }

  private void attemptEnded(
      Live r,
      int number,
      long backend,
      Status status,
      double latencyMs,
      double units,
      FullHttpResponse answer) {
    r.out--;
    if (r.begun) {
      streamingResponseCount--;
      r.client.onResponseEnd(status == Status.OK);
    } else if (answer != null && r.finish()) {
      r.client.onResponse(answer);
    }
    deliver(
        new AttemptEnded(
            r.request.requestId(), number, backend, status, latencyMs, r.finished, units, null));
    r.forgetIfDone();
  }

  private static double units(String header) {
    try {
      double units = header == null ? 0 : Double.parseDouble(header);
      return Double.isFinite(units) && units > 0 ? units : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
