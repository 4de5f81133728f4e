package willowdoor.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.GatewayApi.Action;
import willowdoor.GatewayApi.Add;
import willowdoor.GatewayApi.BackendEntry;
import willowdoor.GatewayApi.Cancel;
import willowdoor.GatewayApi.Counted;
import willowdoor.GatewayApi.Event;
import willowdoor.GatewayApi.Fail;
import willowdoor.GatewayApi.Outcome;
import willowdoor.GatewayApi.Refuse;
import willowdoor.GatewayApi.Request;
import willowdoor.GatewayApi.Roster;
import willowdoor.GatewayApi.RosterForm;
import willowdoor.GatewayApi.Send;
import willowdoor.GatewayApi.Status;
import willowdoor.GatewayApi.WakeAt;
import willowdoor.GatewayApi.Woken;
import willowdoor.QuotaPolicy;
import willowdoor.net.WireFormats;

/** A front door without sockets: the real module and the real message formats, on virtual time. */
final class HollowDoor {

  /** A converter keeps an idle connection for so long. */
  private static final double IDLE_MS = 15_000;

  /** One request taken here and not yet forgotten. */
  private static final class Open {
    final int customer;
    final double units;
    final double cameAtMs;
    int attempts;
    Send lastSend;
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
  private final QuotaPolicy policy;
  private final Map<String, Open> open = new HashMap<>();

  /** When the connection to a converter that was used last falls idle. */
  private final Map<Long, Double> idleSinceMs = new HashMap<>();

  private boolean up = true;

  HollowDoor(HollowFleet fleet, int number, long seed) {
    this.fleet = fleet;
    this.number = number;
    policy = new QuotaPolicy(ScaleSettings.of(fleet.options().doors(), number), seed);
  }

  void start(List<BackendEntry> known) {
    policy.start(fleet.now()).forEach(this::execute);
    deliver(new Roster(RosterForm.REMEMBERED, known));
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
        new Request(
            id,
            ScaleSettings.CLASS,
            ScaleSettings.PLAN.name(),
            HollowFleet.customerNumber(customer),
            fleet.options().spread(),
            units,
            giveUpMs));
  }

  /** A message of discovery's, read as a watch reads it. */
  void roster(byte[] message) {
    if (up) {
      try {
        deliver(WireFormats.roster(message));
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
    if (action instanceof WakeAt wake) {
      fleet.time().at(wake.atMs(), () -> deliver(new Woken(wake.label())));
    } else if (action instanceof Add add) {
      count(add);
    } else if (action instanceof Send send) {
      send(send);
    } else if (action instanceof Refuse refuse) {
      refuse(open.get(refuse.request()));
      finish(refuse.request());
    } else if (action instanceof Fail fail) {
      fleet.figures(open.get(fail.request()).customer).failed++;
      finish(fail.request());
    } else if (action instanceof Cancel cancel) {
      Open request = open.get(cancel.request());
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

  private void count(Add add) {
    CounterCall call = new CounterCall(fleet, this, add);
    call.write(WireFormats.counterCall(add));
  }

  void counted(Counted answer) {
    deliver(answer);
  }

  private void send(Send send) {
    Open request = open.get(send.request());
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
    connect(send.backend(), figures);
    double begun = fleet.now();
    ConverterModel converter = fleet.converter(send.backend(), number);
    ConverterModel.Ending planned = converter.attempt(begun, send.timeoutMs());
    fleet
        .time()
        .after(
            planned.afterMs(),
            () -> {
              ConverterModel.Ending ending = converter.revised(planned, begun);
              ended(send, attempt, ending.status(), fleet.now() - begun);
            });
  }

  private void connect(long backend, FleetFigures figures) {
    Double since = idleSinceMs.remove(backend);
    if (since == null || fleet.now() - since > IDLE_MS) {
      figures.newConnections++;
    }
  }

  private void ended(Send send, int attempt, Status status, double latencyMs) {
    Open request = open.get(send.request());
    if (!up || request == null || request.ended.get(attempt)) {
      return;
    }
    request.ended.set(attempt);
    if (status == Status.OK) {
      idleSinceMs.put(send.backend(), fleet.now());
      fleet.figures(request.customer).served += request.finished ? 0 : 1;
      request.finished = true;
    }
    boolean over = request.finished;
    if (request.forgettable()) {
      open.remove(send.request());
    }
    deliver(new Outcome(send.request(), attempt, send.backend(), status, latencyMs, over, 0, null));
  }
}
