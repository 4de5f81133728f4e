package quotagateway.simulator;

import static quotagateway.config.JsonFields.child;
import static quotagateway.config.JsonFields.children;
import static quotagateway.config.JsonFields.flag;
import static quotagateway.config.JsonFields.number;
import static quotagateway.config.JsonFields.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import quotagateway.config.SettingsParser;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.action.Timer;
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
 * A message from the simulator. Only this class knows the names of the messages and fields that the
 * simulator sends. A field that is missing or has an unexpected type is read as a default value.
 */
final class SimulatorMessage {

  private static final String NAME = "m";
  private static final String GATEWAY = "DoorId";
  private static final String ENDPOINT_LIST = "Bank";
  private static final String REQUEST_ID = "Tid";
  private static final String ATTEMPT = "SendNo";
  private static final String BACKEND = "Backend";
  private static final String STATUS = "StateCode";
  private static final String LATENCY_MS = "LatencyMs";

  private static final Map<String, Status> STATUSES =
      Map.of(
          "OK", Status.OK,
          "INTERNAL", Status.ERROR,
          "RESOURCE_EXHAUSTED", Status.REJECTED,
          "DEADLINE_EXCEEDED", Status.TIMED_OUT,
          "UNAVAILABLE", Status.CONNECT_FAILED,
          "ABORTED", Status.RESET,
          "CANCELLED", Status.CANCELLED,
          "TOO_LATE", Status.NOT_SENT);

  /** Purpose of a message. */
  enum Kind {
    /** States the time and the number of the following batch. */
    BATCH_START,
    /** Defines an endpoint list, which events refer to by its number. */
    ENDPOINT_LIST,
    /** Ends a batch and requests an acknowledgement after the batch's actions. */
    BATCH_END,
    GATEWAY_START,
    GATEWAY_STOP,
    /** Reports an event at a gateway, or has an unknown name. */
    EVENT
  }

  private final Map<String, Object> fields;
  private final String name;

  SimulatorMessage(Map<String, Object> fields) {
    this.fields = fields;
    name = text(fields, NAME);
  }

  Kind kind() {
    return switch (name) {
      case "Mark" -> Kind.BATCH_START;
      case "List" -> Kind.ENDPOINT_LIST;
      case "Go" -> Kind.BATCH_END;
      case "Attach" -> Kind.GATEWAY_START;
      case "Halt" -> Kind.GATEWAY_STOP;
      default -> Kind.EVENT;
    };
  }

  /** Returns the simulated time of a {@link Kind#BATCH_START}. */
  double clockMs() {
    return number(fields, "ClockMs");
  }

  /** Returns the number of the batch that a {@link Kind#BATCH_START} starts. */
  long batchNumber() {
    return (long) number(fields, "n");
  }

  boolean hasGateway() {
    return fields.containsKey(GATEWAY);
  }

  int gatewayNumber() {
    return (int) number(fields, GATEWAY);
  }

  /** Returns the seed for the policy of a {@link Kind#GATEWAY_START}. */
  long randomSeed() {
    return (long) number(fields, "RandomSeed");
  }

  /** Returns the settings for the policy of a {@link Kind#GATEWAY_START}. */
  PolicySettings settings() {
    return SettingsParser.parse(child(fields, "Setup"));
  }

  /** Returns the number of a {@link Kind#ENDPOINT_LIST}, or of the list that an event refers to. */
  int endpointListNumber() {
    return (int) number(fields, ENDPOINT_LIST);
  }

  /** Returns the endpoints of a {@link Kind#ENDPOINT_LIST}. */
  List<Endpoint> endpoints() {
    List<Endpoint> endpoints = new ArrayList<>();
    for (Map<String, Object> item : children(fields, "Items")) {
      endpoints.add(
          new Endpoint(
              (long) number(item, BACKEND),
              text(item, "RegionPart"),
              (int) number(item, "Stripe"),
              endpointState(text(item, "Lifecycle")),
              number(item, "CapacityHint", 1),
              number(item, "LaunchedMs")));
    }
    return endpoints;
  }

  private static EndpointState endpointState(String value) {
    return switch (value) {
      case "DRAINING" -> EndpointState.DRAINING;
      case "DELETED" -> EndpointState.REMOVED;
      default -> EndpointState.SERVING;
    };
  }

  /**
   * Returns the event of a {@link Kind#EVENT}, or null if the event or its timer is unknown.
   *
   * @param settings the settings of the gateway that the event is for
   * @param endpointLists endpoint lists by number
   */
  Event event(PolicySettings settings, Map<Integer, List<Endpoint>> endpointLists) {
    return switch (name) {
      case "Discovery" ->
          new EndpointsUpdated(
              endpointListForm(text(fields, "Form")),
              endpointLists.getOrDefault(endpointListNumber(), List.of()));
      case "Req" -> requestReceived(settings);
      case "Accepted" -> new ResponseStarted(requestId(), attempt());
      case "Result" -> attemptEnded();
      case "Gone" -> new ClientDisconnected(requestId());
      case "Reckoned" -> counterReplied();
      case "Elapsed" -> timerFired();
      default -> null;
    };
  }

  private static EndpointListForm endpointListForm(String value) {
    return switch (value) {
      case "changes" -> EndpointListForm.DELTA;
      case "all" -> EndpointListForm.SNAPSHOT;
      case "remembered" -> EndpointListForm.CACHED_SNAPSHOT;
      default -> EndpointListForm.FAILED;
    };
  }

  private RequestReceived requestReceived(PolicySettings settings) {
    return new RequestReceived(
        requestId(),
        requestClass(settings, text(fields, "Kind")),
        text(fields, "Package"),
        (long) number(fields, "Customer"),
        (int) number(fields, "EntryPoints"),
        number(fields, "CostUnits"),
        number(fields, "GiveUpAtMs"));
  }

  /** Returns the request class with this name, or null if the settings define none. */
  private static RequestClass requestClass(PolicySettings settings, String className) {
    for (RequestClass candidate : settings.requestClasses()) {
      if (candidate.name().equals(className)) {
        return candidate;
      }
    }
    return null;
  }

  private AttemptEnded attemptEnded() {
    return new AttemptEnded(
        requestId(),
        attempt(),
        (long) number(fields, BACKEND),
        status(),
        number(fields, LATENCY_MS),
        flag(fields, "Last"),
        number(fields, "FinalUnits"),
        loadReport(child(fields, "Load")));
  }

  /** Returns the load report, or null if the message contains none. */
  private static LoadReport loadReport(Map<String, Object> values) {
    if (values.isEmpty()) {
      return null;
    }
    double inFlight = number(values, "concurrent", Double.NaN) + number(values, "depth", 0);
    return new LoadReport(inFlight, number(values, "mean_ms", Double.NaN));
  }

  private CounterReplied counterReplied() {
    return new CounterReplied(
        text(fields, "Book"), status(), number(fields, "Value"), number(fields, LATENCY_MS));
  }

  /** Returns the timer event, or null if its label belongs to none of the policy's timers. */
  private TimerFired timerFired() {
    Timer timer = TimerLabels.timer(text(fields, "Label"));
    return timer == null ? null : new TimerFired(timer);
  }

  private String requestId() {
    return text(fields, REQUEST_ID);
  }

  private int attempt() {
    return (int) number(fields, ATTEMPT);
  }

  private Status status() {
    return STATUSES.getOrDefault(text(fields, STATUS), Status.ERROR);
  }
}
