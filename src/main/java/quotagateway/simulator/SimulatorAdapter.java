package quotagateway.simulator;

import static quotagateway.config.JsonFields.child;
import static quotagateway.config.JsonFields.children;
import static quotagateway.config.JsonFields.flag;
import static quotagateway.config.JsonFields.number;
import static quotagateway.config.JsonFields.text;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import quotagateway.config.JsonFields;
import quotagateway.config.SettingsParser;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.action.WatchEndpoints;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.ClientDisconnected;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.LoadReport;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.ResponseStarted;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/**
 * Turns the bench's wire into events of {@link GatewayApi} and the actions back into the wire; no
 * more.
 */
public final class SimulatorAdapter {

  private static final Map<String, Status> STATUSES =
      Map.of(
          "OK",
          Status.OK,
          "INTERNAL",
          Status.ERROR,
          "RESOURCE_EXHAUSTED",
          Status.REJECTED,
          "DEADLINE_EXCEEDED",
          Status.TIMED_OUT,
          "UNAVAILABLE",
          Status.CONNECT_FAILED,
          "ABORTED",
          Status.RESET,
          "CANCELLED",
          Status.CANCELLED,
          "TOO_LATE",
          Status.NOT_SENT);

  /** How the simulator's messages name the timers. */
  private static final Map<Timer, String> TIMER_LABELS =
      Map.of(
          Timer.REQUEST_CHECK, "tick",
          Timer.ENDPOINT_SWEEP, "sweep",
          Timer.ENDPOINT_WATCH, "follow");

  private final JsonParser in;
  private final JsonGenerator out;
  private final Map<Integer, Door> doors = new HashMap<>();
  private final Map<Integer, List<Endpoint>> lists = new HashMap<>();

  private record Door(GatewayPolicy policy, PolicySettings settings) {
    RequestClass type(String name) {
      return settings.requestClasses().stream()
          .filter(c -> c.name().equals(name))
          .findFirst()
          .orElse(null);
    }
  }

  public SimulatorAdapter(InputStream input, OutputStream output) throws IOException {
    JsonFactory factory = new JsonFactory();
    in = factory.createParser(input);
    out = factory.createGenerator(new BufferedOutputStream(output, 1 << 16));
    out.setRootValueSeparator(null);
    out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
  }

  /** Answers batches until the input ends. */
  public void run() throws IOException {
    double now = 0;
    long number = 0;
    boolean faulty = false;
    while (in.nextToken() != null) {
      Map<String, Object> message = JsonFields.readObject(in);
      String name = text(message, "m");
      switch (name) {
        case "Mark" -> {
          now = number(message, "ClockMs");
          number = (long) number(message, "n");
        }
        case "List" -> lists.put((int) number(message, "Bank"), entries(message));
        case "Go" -> {
          acknowledge(number);
          faulty = false;
        }
        default -> {
          if (message.containsKey("DoorId") && !faulty) {
            faulty = !deliver((int) number(message, "DoorId"), name, message, now);
          }
        }
      }
    }
  }

  private boolean deliver(int door, String name, Map<String, Object> message, double now)
      throws IOException {
    try {
      for (Action action : actions(door, name, message, now)) {
        write(door, action);
      }
      return true;
    } catch (RuntimeException e) {
      begin("Fault", door);
      out.writeStringField("Line", String.valueOf(e.getMessage() == null ? e : e.getMessage()));
      end();
      return false;
    }
  }

  private List<Action> actions(int door, String name, Map<String, Object> message, double now) {
    if (name.equals("Attach")) {
      long seed = (long) number(message, "RandomSeed");
      PolicySettings settings = SettingsParser.parse(child(message, "Setup"));
      GatewayPolicy policy = new GatewayPolicy(settings, seed);
      doors.put(door, new Door(policy, settings));
      return policy.start(now);
    }
    if (name.equals("Halt")) {
      doors.remove(door);
      return List.of();
    }
    Door at = doors.get(door);
    Event event = at == null ? null : event(name, message, at);
    return event == null ? List.of() : at.policy.on(now, event);
  }

  private Event event(String name, Map<String, Object> m, Door at) {
    return switch (name) {
      case "Discovery" ->
          new EndpointsUpdated(
              switch (text(m, "Form")) {
                case "changes" -> EndpointListForm.DELTA;
                case "all" -> EndpointListForm.SNAPSHOT;
                case "remembered" -> EndpointListForm.CACHED_SNAPSHOT;
                default -> EndpointListForm.FAILED;
              },
              lists.getOrDefault((int) number(m, "Bank"), List.of()));
      case "Req" ->
          new RequestReceived(
              text(m, "Tid"),
              at.type(text(m, "Kind")),
              text(m, "Package"),
              (long) number(m, "Customer"),
              (int) number(m, "EntryPoints"),
              number(m, "CostUnits"),
              number(m, "GiveUpAtMs"));
      case "Accepted" -> new ResponseStarted(text(m, "Tid"), (int) number(m, "SendNo"));
      case "Result" ->
          new AttemptEnded(
              text(m, "Tid"),
              (int) number(m, "SendNo"),
              (long) number(m, "Backend"),
              STATUSES.getOrDefault(text(m, "StateCode"), Status.ERROR),
              number(m, "LatencyMs"),
              flag(m, "Last"),
              number(m, "FinalUnits"),
              load(child(m, "Load")));
      case "Gone" -> new ClientDisconnected(text(m, "Tid"));
      case "Reckoned" ->
          new CounterReplied(
              text(m, "Book"),
              STATUSES.getOrDefault(text(m, "StateCode"), Status.ERROR),
              number(m, "Value"),
              number(m, "LatencyMs"));
      case "Elapsed" -> timerFired(text(m, "Label"));
      default -> null;
    };
  }

  /** Null for a label that is none of this gateway's. */
  private static TimerFired timerFired(String label) {
    for (Map.Entry<Timer, String> named : TIMER_LABELS.entrySet()) {
      if (named.getValue().equals(label)) {
        return new TimerFired(named.getKey());
      }
    }
    return null;
  }

  private static LoadReport load(Map<String, Object> values) {
    if (values.isEmpty()) {
      return null;
    }
    return new LoadReport(
        number(values, "concurrent", Double.NaN) + number(values, "depth", 0),
        number(values, "mean_ms", Double.NaN));
  }

  private static List<Endpoint> entries(Map<String, Object> message) {
    List<Endpoint> entries = new ArrayList<>();
    for (Map<String, Object> e : children(message, "Items")) {
      entries.add(
          new Endpoint(
              (long) number(e, "Backend"),
              text(e, "RegionPart"),
              (int) number(e, "Stripe"),
              switch (text(e, "Lifecycle")) {
                case "DRAINING" -> EndpointState.DRAINING;
                case "DELETED" -> EndpointState.REMOVED;
                default -> EndpointState.SERVING;
              },
              number(e, "CapacityHint", 1),
              number(e, "LaunchedMs")));
    }
    return entries;
  }

  private void write(int door, Action action) throws IOException {
    if (action instanceof StartAttempt a) {
      begin("Relay", door);
      out.writeStringField("Tid", a.requestId());
      out.writeNumberField("Backend", a.endpointId());
      out.writeNumberField("TimeoutMs", a.timeoutMs());
    } else if (action instanceof RejectRequest a) {
      begin("Deny", door);
      out.writeStringField("Tid", a.requestId());
      if (a.retryAfterMs() > 0) {
        out.writeNumberField("HoldOffMs", a.retryAfterMs());
      }
    } else if (action instanceof FailRequest a) {
      begin("Lose", door);
      out.writeStringField("Tid", a.requestId());
    } else if (action instanceof CancelAttempt a) {
      begin("UndoSend", door);
      out.writeStringField("Tid", a.requestId());
      out.writeNumberField("SendNo", a.attempt());
    } else if (action instanceof IncrementCounter a) {
      begin("PostAmount", door);
      out.writeStringField("Book", a.counterName());
      out.writeNumberField("Qty", a.amount());
      out.writeNumberField("TtlMs", a.ttlMs());
    } else if (action instanceof ScheduleTimer a) {
      begin("After", door);
      out.writeNumberField("InstantMs", a.atMs());
      out.writeStringField("Label", TIMER_LABELS.get(a.timer()));
    } else if (action instanceof WatchEndpoints) {
      begin("Track", door);
      out.writeBooleanField("Active", true);
    }
    end();
  }

  private void begin(String name, int door) throws IOException {
    out.writeStartObject();
    out.writeStringField("m", name);
    out.writeNumberField("DoorId", door);
  }

  private void end() throws IOException {
    out.writeEndObject();
    out.writeRaw('\n');
  }

  private void acknowledge(long number) throws IOException {
    out.writeStartObject();
    out.writeStringField("m", "Ack");
    out.writeNumberField("n", number);
    end();
    out.enable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
    out.flush();
    out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
  }
}
