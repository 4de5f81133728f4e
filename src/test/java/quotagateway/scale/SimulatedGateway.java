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

/** A gateway without sockets: the real policy and message formats, on virtual time. */
final class SimulatedGateway {

  /** Time for which a backend keeps an idle connection open. */
  private static final double IDLE_TIMEOUT_MS = 15_000;

  /** A request that is unfinished or has unfinished attempts. */
  private static final class OpenRequest {
    final int customer;
    final double units;
    final double receivedAtMs;
    int attempts;
    StartAttempt lastAttempt;
    double lastAttemptAtMs;
    final BitSet ended = new BitSet();
    boolean finished;

    OpenRequest(int customer, double units, double receivedAtMs) {
      this.customer = customer;
      this.units = units;
      this.receivedAtMs = receivedAtMs;
    }

    boolean isComplete() {
      return finished && ended.cardinality() == attempts;
    }
  }

  private final SimulatedFleet fleet;
  private final int number;
  private final GatewayPolicy policy;
  private final Map<String, OpenRequest> openRequests = new HashMap<>();

  /** Time at which an attempt last left an idle connection, by backend. */
  private final Map<Long, Double> idleSinceMs = new HashMap<>();

  private boolean up = true;

  SimulatedGateway(SimulatedFleet fleet, int number, long seed) {
    this.fleet = fleet;
    this.number = number;
    policy = new GatewayPolicy(ScaleSettings.of(fleet.options().gateways(), number), seed);
  }

  void start(List<Endpoint> endpoints) {
    policy.start(fleet.now()).forEach(this::execute);
    deliver(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, endpoints));
  }

  int number() {
    return number;
  }

  boolean up() {
    return up;
  }

  /** Ends the gateway abruptly: its open requests fail without a response. */
  void kill() {
    up = false;
    openRequests.values().stream()
        .filter(request -> !request.finished)
        .forEach(request -> fleet.figures(request.customer).failed++);
    openRequests.clear();
  }

  void receive(String id, int customer, double units) {
    openRequests.put(id, new OpenRequest(customer, units, fleet.now()));
    double deadlineMs = fleet.now() + ScaleSettings.CLASS.deadlineMs();
    deliver(
        new RequestReceived(
            id,
            ScaleSettings.CLASS,
            ScaleSettings.PLAN.name(),
            SimulatedFleet.customerNumber(customer),
            fleet.options().spread(),
            units,
            deadlineMs));
  }

  /** Receives a discovery message, which is decoded as by a watch. */
  void receiveEndpointList(byte[] message) {
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
    if (action instanceof ScheduleTimer schedule) {
      fleet.time().scheduleAt(schedule.atMs(), () -> deliver(new TimerFired(schedule.timer())));
    } else if (action instanceof IncrementCounter increment) {
      callCounter(increment);
    } else if (action instanceof StartAttempt start) {
      startAttempt(start);
    } else if (action instanceof RejectRequest rejection) {
      recordRejection(openRequests.get(rejection.requestId()));
      finish(rejection.requestId());
    } else if (action instanceof FailRequest fail) {
      fleet.figures(openRequests.get(fail.requestId()).customer).failed++;
      finish(fail.requestId());
    } else if (action instanceof CancelAttempt cancel) {
      OpenRequest request = openRequests.get(cancel.requestId());
      if (request != null) {
        endAttempt(
            request.lastAttempt,
            cancel.attempt(),
            Status.CANCELLED,
            fleet.now() - request.lastAttemptAtMs);
      }
    }
  }

  private void recordRejection(OpenRequest request) {
    FleetStatistics figures = fleet.figures(request.customer);
    figures.rejected++;
    figures.lightRejected += fleet.isLight(request.customer) ? 1 : 0;
    if (fleet.ledger().holds(request.customer, request.units, fleet.now())) {
      figures.rejectedWithinQuota++;
    }
  }

  private void finish(String id) {
    OpenRequest request = openRequests.get(id);
    request.finished = true;
    if (request.isComplete()) {
      openRequests.remove(id);
    }
  }

  private void callCounter(IncrementCounter increment) {
    CounterCall call = new CounterCall(fleet, this, increment);
    call.send(WireFormats.encodeIncrement(increment));
  }

  void deliverReply(CounterReplied reply) {
    deliver(reply);
  }

  private void startAttempt(StartAttempt start) {
    OpenRequest request = openRequests.get(start.requestId());
    FleetStatistics figures = fleet.figures(request.customer);
    int attempt = request.attempts++;
    request.lastAttempt = start;
    request.lastAttemptAtMs = fleet.now();
    figures.attempts++;
    if (attempt == 0) {
      boolean within = fleet.ledger().take(request.customer, request.units, fleet.now());
      figures.sentWithinQuota += within ? 1 : 0;
      figures.sentBeyondQuota += within ? 0 : 1;
      figures.recordAddedLatency(fleet.now() - request.receivedAtMs);
    }
    recordConnection(start.endpointId(), figures);
    double startMs = fleet.now();
    BackendModel backend = fleet.backend(start.endpointId(), number);
    BackendModel.Outcome planned = backend.attempt(startMs, start.timeoutMs());
    fleet
        .time()
        .scheduleAfter(
            planned.afterMs(),
            () -> {
              BackendModel.Outcome ending = backend.actualOutcome(planned, startMs);
              endAttempt(start, attempt, ending.status(), fleet.now() - startMs);
            });
  }

  private void recordConnection(long backend, FleetStatistics figures) {
    Double since = idleSinceMs.remove(backend);
    if (since == null || fleet.now() - since > IDLE_TIMEOUT_MS) {
      figures.newConnections++;
    }
  }

  private void endAttempt(StartAttempt start, int attempt, Status status, double latencyMs) {
    OpenRequest request = openRequests.get(start.requestId());
    if (!up || request == null || request.ended.get(attempt)) {
      return;
    }
    request.ended.set(attempt);
    if (status == Status.OK) {
      idleSinceMs.put(start.endpointId(), fleet.now());
      fleet.figures(request.customer).served += request.finished ? 0 : 1;
      request.finished = true;
    }
    boolean finished = request.finished;
    if (request.isComplete()) {
      openRequests.remove(start.requestId());
    }
    deliver(
        new AttemptEnded(
            start.requestId(), attempt, start.endpointId(), status, latencyMs, finished, 0, null));
  }
}
