package quotagateway.policy;

import java.util.ArrayList;
import java.util.List;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.LoadReport;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;
import quotagateway.policy.settings.ServiceRules;

/** A policy under test, with a manual clock and a record of the actions that it returned. */
public final class PolicyFixture {

  static final Plan RATE_LIMITED = new Plan("rate-limited", 2, 10, 0, 1, 0, 1, 0, 0, 0);
  static final Plan HARD_LIMITED = new Plan("hard-limited", 2, 10, 0, 1, 0, 1, 4, 20, 2);
  static final Plan HARD_LIMITED_LARGE =
      new Plan("hard-limited-large", 40, 100, 0, 1, 0, 1, 80, 200, 20);
  static final Plan RATE_LIMITED_LARGE =
      new Plan("rate-limited-large", 40, 100, 0, 1, 0, 1, 0, 0, 0);
  static final Plan UNLIMITED = new Plan("free", 0, 0, 0, 1, 0, 1, 0, 0, 0);
  static final Plan CONCURRENCY_LIMITED =
      new Plan("concurrency-limited", 0, 0, 2, 1, 0, 1, 0, 0, 0);

  public final GatewayPolicy policy;
  final List<Action> allActions = new ArrayList<>();
  List<Action> lastActions = List.of();
  public double now;
  private int nextRequestNumber;

  public PolicyFixture(PolicySettings settings) {
    this(settings, 1_000_000);
  }

  PolicyFixture(PolicySettings settings, double startMs) {
    now = startMs;
    policy = new GatewayPolicy(settings, 7 + settings.gatewayIndex());
    recordActions(policy.start(now));
  }

  public static PolicySettings settings(
      boolean sharedCounter, int gatewayCount, boolean pollsDiscovery) {
    return settings(sharedCounter, gatewayCount, pollsDiscovery, 0);
  }

  static PolicySettings settings(
      boolean sharedCounter, int gatewayCount, boolean pollsDiscovery, int gatewayIndex) {
    List<RequestClass> classes =
        List.of(
            new RequestClass(
                "safe", 1, 0, 1000, 4000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
            new RequestClass(
                "unsafe",
                1,
                0,
                1000,
                4000,
                Idempotency.NOT_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false),
            new RequestClass(
                "cell",
                1,
                0,
                1000,
                4000,
                Idempotency.IDEMPOTENT_WITH_KEY,
                DeduplicationScope.CELL,
                3000,
                false),
            new RequestClass(
                "zone",
                1,
                0,
                1000,
                4000,
                Idempotency.IDEMPOTENT_WITH_KEY,
                DeduplicationScope.ZONE,
                3000,
                false),
            new RequestClass(
                "stream",
                1,
                0,
                1000,
                4000,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                true));
    return new PolicySettings(
        gatewayCount,
        gatewayIndex,
        "a",
        4,
        0,
        false,
        classes,
        List.of(
            RATE_LIMITED,
            HARD_LIMITED,
            UNLIMITED,
            CONCURRENCY_LIMITED,
            HARD_LIMITED_LARGE,
            RATE_LIMITED_LARGE),
        new Capabilities(sharedCounter, 30, true, false, 4, 1000, true, 2000, pollsDiscovery),
        new ServiceRules(8, 0.2, 10_000, 3, 2000));
  }

  /** Returns the request class with the given name in the test settings, or null. */
  static RequestClass requestClass(String name) {
    return settings(true, 2, false).requestClasses().stream()
        .filter(requestClass -> requestClass.name().equals(name))
        .findFirst()
        .orElse(null);
  }

  public static PolicyFixture withCounterAndBackends() {
    return new PolicyFixture(settings(true, 2, false)).updateBackends(4);
  }

  public PolicyFixture updateBackends(int count) {
    List<Endpoint> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(new Endpoint(i, i % 2 == 0 ? "a" : "b", i, EndpointState.SERVING, 1, 0));
    }
    return on(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, entries));
  }

  public PolicyFixture on(Event event) {
    recordActions(policy.on(now, event));
    return this;
  }

  private void recordActions(List<Action> actions) {
    lastActions = actions;
    allActions.addAll(actions);
  }

  public PolicyFixture advanceClock(double ms) {
    now += ms;
    return this;
  }

  /**
   * Advances the clock and fires the policy's request check every 25 ms. Afterwards the last
   * actions are all actions of that time except scheduled timers.
   */
  PolicyFixture runFor(double ms) {
    List<Action> actions = new ArrayList<>();
    for (double end = now + ms; now < end; ) {
      now = Math.min(end, now + 25);
      on(new TimerFired(Timer.REQUEST_CHECK));
      actions.addAll(lastActions);
    }
    actions.removeIf(action -> action instanceof ScheduleTimer);
    lastActions = actions;
    return this;
  }

  public String request(String className, String planName, double units) {
    String id = "r" + nextRequestNumber++;
    on(new RequestReceived(id, requestClass(className), planName, 42, 2, units, now + 4000));
    return id;
  }

  PolicyFixture counterReplies(double total) {
    return on(new CounterReplied(lastIncrement().counterName(), Status.OK, total, 2));
  }

  PolicyFixture counterCallFails(Status status) {
    return on(new CounterReplied(lastIncrement().counterName(), status, 0, 30));
  }

  public PolicyFixture endAttempt(
      StartAttempt start, int attempt, Status status, boolean requestFinished) {
    return on(
        new AttemptEnded(
            start.requestId(), attempt, start.endpointId(), status, 50, requestFinished, 0, null));
  }

  PolicyFixture succeedWithLoad(StartAttempt start, int attempt, double inFlight) {
    return on(
        new AttemptEnded(
            start.requestId(),
            attempt,
            start.endpointId(),
            Status.OK,
            50,
            true,
            0,
            new LoadReport(inFlight, 50)));
  }

  IncrementCounter lastIncrement() {
    return find(allActions, IncrementCounter.class);
  }

  public <T extends Action> T lastActionOfType(Class<T> type) {
    return find(lastActions, type);
  }

  public <T extends Action> boolean hasAction(Class<T> type) {
    return lastActions.stream().anyMatch(type::isInstance);
  }

  private static <T extends Action> T find(List<Action> actions, Class<T> type) {
    for (int i = actions.size() - 1; i >= 0; i--) {
      if (type.isInstance(actions.get(i))) {
        return type.cast(actions.get(i));
      }
    }
    throw new AssertionError("no action " + type.getSimpleName() + " in " + actions);
  }
}
