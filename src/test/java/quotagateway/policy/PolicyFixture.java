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

/** A policy under test, with a clock and all the actions that it gave. */
public final class PolicyFixture {

  static final Plan RATED = new Plan("rated", 2, 10, 0, 1, 0, 1, 0, 0, 0);
  static final Plan HARD_LIMITED = new Plan("ceiled", 2, 10, 0, 1, 0, 1, 4, 20, 2);
  static final Plan WIDE = new Plan("wide", 40, 100, 0, 1, 0, 1, 80, 200, 20);
  static final Plan BROAD = new Plan("broad", 40, 100, 0, 1, 0, 1, 0, 0, 0);
  static final Plan FREE = new Plan("free", 0, 0, 0, 1, 0, 1, 0, 0, 0);
  static final Plan NARROW = new Plan("narrow", 0, 0, 2, 1, 0, 1, 0, 0, 0);

  public final GatewayPolicy policy;
  final List<Action> all = new ArrayList<>();
  List<Action> last = List.of();
  public double now;
  private int next;

  public PolicyFixture(PolicySettings settings) {
    this(settings, 1_000_000);
  }

  PolicyFixture(PolicySettings settings, double startMs) {
    now = startMs;
    policy = new GatewayPolicy(settings, 7 + settings.gatewayIndex());
    take(policy.start(now));
  }

  public static PolicySettings settings(boolean counter, int gateways, boolean ask) {
    return settings(counter, gateways, ask, 0);
  }

  static PolicySettings settings(boolean counter, int gateways, boolean ask, int self) {
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
        gateways,
        self,
        "a",
        4,
        0,
        false,
        classes,
        List.of(RATED, HARD_LIMITED, FREE, NARROW, WIDE, BROAD),
        new Capabilities(counter, 30, true, false, 4, 1000, true, 2000, ask),
        new ServiceRules(8, 0.2, 10_000, 3, 2000));
  }

  /** The class of that name in the settings of these tests. */
  static RequestClass type(String name) {
    return settings(true, 2, false).requestClasses().stream()
        .filter(c -> c.name().equals(name))
        .findFirst()
        .orElse(null);
  }

  public static PolicyFixture counted() {
    return new PolicyFixture(settings(true, 2, false)).backends(4);
  }

  public PolicyFixture backends(int n) {
    List<Endpoint> entries = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      entries.add(new Endpoint(i, i % 2 == 0 ? "a" : "b", i, EndpointState.SERVING, 1, 0));
    }
    return on(new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, entries));
  }

  public PolicyFixture on(Event event) {
    take(policy.on(now, event));
    return this;
  }

  private void take(List<Action> actions) {
    last = actions;
    all.addAll(actions);
  }

  public PolicyFixture pass(double ms) {
    now += ms;
    return this;
  }

  /** Lets time go by, with the wake-ups of the policy. */
  PolicyFixture run(double ms) {
    List<Action> seen = new ArrayList<>();
    for (double end = now + ms; now < end; ) {
      now = Math.min(end, now + 25);
      on(new TimerFired(Timer.REQUEST_CHECK));
      seen.addAll(last);
    }
    seen.removeIf(a -> a instanceof ScheduleTimer);
    last = seen;
    return this;
  }

  public String request(String className, String plan, double units) {
    String id = "r" + next++;
    on(new RequestReceived(id, type(className), plan, 42, 2, units, now + 4000));
    return id;
  }

  PolicyFixture total(double total) {
    return on(new CounterReplied(lastAdd().counterName(), Status.OK, total, 2));
  }

  PolicyFixture callFails(Status status) {
    return on(new CounterReplied(lastAdd().counterName(), status, 0, 30));
  }

  public PolicyFixture outcome(StartAttempt send, int attempt, Status status, boolean over) {
    return on(
        new AttemptEnded(send.requestId(), attempt, send.endpointId(), status, 50, over, 0, null));
  }

  PolicyFixture report(StartAttempt send, int attempt, double inFlight) {
    return on(
        new AttemptEnded(
            send.requestId(),
            attempt,
            send.endpointId(),
            Status.OK,
            50,
            true,
            0,
            new LoadReport(inFlight, 50)));
  }

  IncrementCounter lastAdd() {
    return find(all, IncrementCounter.class);
  }

  public <T extends Action> T only(Class<T> type) {
    return find(last, type);
  }

  public <T extends Action> boolean did(Class<T> type) {
    return last.stream().anyMatch(type::isInstance);
  }

  private static <T extends Action> T find(List<Action> actions, Class<T> type) {
    for (int i = actions.size() - 1; i >= 0; i--) {
      if (type.isInstance(actions.get(i))) {
        return type.cast(actions.get(i));
      }
    }
    throw new AssertionError("no " + type.getSimpleName() + " in " + actions);
  }
}
