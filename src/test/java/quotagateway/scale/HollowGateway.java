package quotagateway.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quotagateway.endpoint.Endpoint;
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
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.testing.WireFormats;

/** A gateway without sockets: the real module and the real message formats, on virtual time. */
final class HollowGateway {

  /** A backend keeps an idle connection for so long. */
  private static final double IDLE_MS = 15_000;

  /** One request taken here and not yet forgotten. */
  private static final class Open {
    final int customer;
    final double units;
    final double cameAtMs;
    int attempts;
    StartAttempt lastSend;
    double lastSentAtMs;
    final BitSet ended = new BitSet();
    boolean finished;

    Open(int customer, double units, double cameAtMs) {
      this.customer = customer;
      this.units = units;
      this.cameAtMs = cameAtMs;
    }

    boolean forgettable() {
      return finished && ended.cardinality() == attempts;
    }
  }

  private final HollowFleet fleet;
  private final int number;
  private final GatewayPolicy policy;
  private final Map<String, Open> open = new HashMap<>();

  /** When the connection to a backend that was used last falls idle. */
  private final Map<Long, Double> idleSinceMs = new HashMap<>();

  private boolean up = true;

  HollowGateway(HollowFleet fleet, int number, long seed) {
    this.fleet = fleet;
    this.number = number;
    policy = new GatewayPolicy(ScaleSettings.of(fleet.options().gateways(), number), seed);
  }

  void start(List<Endpoint> known) {
    policy.start(fleet.now()).forEach(this::execute);
    deliver(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, known));
  }

  int number() {
    return number;
  }

  boolean up() {
    return up;
  }

  /** Ends it without a word: what it holds is never answered. */
  void kill() {
    up = false;
    open.values().stream()
        .filter(o -> !o.finished)
        .forEach(o -> fleet.figures(o.customer).failed++);
    open.clear();
  }

  void request(String id, int customer, double units) {
    open.put(id, new Open(customer, units, fleet.now()));
    double giveUpMs = fleet.now() + ScaleSettings.CLASS.deadlineMs();
    deliver(
        new RequestReceived(
            id,
            ScaleSettings.CLASS,
            ScaleSettings.PLAN.name(),
            HollowFleet.customerNumber(customer),
            fleet.options().spread(),
            units,
            giveUpMs));
  }

  /** A message of discovery's, read as a watch reads it. */
  void endpointList(byte[] message) {
    if (up) {
      try {
        deliver(WireFormats.readEndpointList(message));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private void deliver(Event event) {
    if (up) {
      policy.on(fleet.now(), event).forEach(this::execute);
    }
  }

  private void execute(Action action) {
    if (action instanceof ScheduleTimer wake) {
      fleet.time().at(wake.atMs(), () -> deliver(new TimerFired(wake.timer())));
    } else if (action instanceof IncrementCounter add) {
      count(add);
    } else if (action instanceof StartAttempt send) {
      send(send);
    } else if (action instanceof RejectRequest refuse) {
      refuse(open.get(refuse.requestId()));
      finish(refuse.requestId());
    } else if (action instanceof FailRequest fail) {
      fleet.figures(open.get(fail.requestId()).customer).failed++;
      finish(fail.requestId());
    } else if (action instanceof CancelAttempt cancel) {
      Open request = open.get(cancel.requestId());
      if (request != null) {
        ended(
            request.lastSend,
            cancel.attempt(),
            Status.CANCELLED,
            fleet.now() - request.lastSentAtMs);
      }
    }
  }

  private void refuse(Open request) {
    FleetFigures figures = fleet.figures(request.customer);
    figures.refused++;
    figures.lightRefused += fleet.light(request.customer) ? 1 : 0;
    if (fleet.ledger().holds(request.customer, request.units, fleet.now())) {
      figures.refusedWithRoom++;
    }
  }

  private void finish(String id) {
    Open request = open.get(id);
    request.finished = true;
    if (request.forgettable()) {
      open.remove(id);
    }
  }

  private void count(IncrementCounter add) {
    CounterCall call = new CounterCall(fleet, this, add);
    call.write(WireFormats.encodeIncrement(add));
  }

  void counted(CounterReplied answer) {
    deliver(answer);
  }

  private void send(StartAttempt send) {
    Open request = open.get(send.requestId());
    FleetFigures figures = fleet.figures(request.customer);
    int attempt = request.attempts++;
    request.lastSend = send;
    request.lastSentAtMs = fleet.now();
    figures.attempts++;
    if (attempt == 0) {
      boolean within = fleet.ledger().take(request.customer, request.units, fleet.now());
      figures.sentWithin += within ? 1 : 0;
      figures.sentBeyond += within ? 0 : 1;
      figures.added(fleet.now() - request.cameAtMs);
    }
    connect(send.endpointId(), figures);
    double begun = fleet.now();
    BackendModel backend = fleet.backend(send.endpointId(), number);
    BackendModel.Ending planned = backend.attempt(begun, send.timeoutMs());
    fleet
        .time()
        .after(
            planned.afterMs(),
            () -> {
              BackendModel.Ending ending = backend.revised(planned, begun);
              ended(send, attempt, ending.status(), fleet.now() - begun);
            });
  }

  private void connect(long backend, FleetFigures figures) {
    Double since = idleSinceMs.remove(backend);
    if (since == null || fleet.now() - since > IDLE_MS) {
      figures.newConnections++;
    }
  }

  private void ended(StartAttempt send, int attempt, Status status, double latencyMs) {
    Open request = open.get(send.requestId());
    if (!up || request == null || request.ended.get(attempt)) {
      return;
    }
    request.ended.set(attempt);
    if (status == Status.OK) {
      idleSinceMs.put(send.endpointId(), fleet.now());
      fleet.figures(request.customer).served += request.finished ? 0 : 1;
      request.finished = true;
    }
    boolean over = request.finished;
    if (request.forgettable()) {
      open.remove(send.requestId());
    }
    deliver(
        new AttemptEnded(
            send.requestId(), attempt, send.endpointId(), status, latencyMs, over, 0, null));
  }
}
