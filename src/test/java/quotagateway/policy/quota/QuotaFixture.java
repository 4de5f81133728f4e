package quotagateway.policy.quota;

import java.util.List;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;

/** What the classes of this package need: a context with a clock, plans, and a load that is set. */
final class QuotaFixture implements BackendLoad {

  static final long SEED = 7;
  static final double START_MS = 1_000_000;
  static final double MEAN_SERVICE_MS = 100;

  /** 2 units a second, bursts of 10: its bucket is replicated. */
  static final Plan BUCKET = new Plan("bucket", 2, 10, 0, 1, 0, 1, 0, 0, 0);

  /** 0.5 units a second, bursts of 10: a refill takes 20 s, so it has fixed windows. */
  static final Plan FIXED_WINDOW = new Plan("fixed window", 0.5, 10, 0, 1, 0, 1, 0, 0, 0);

  /** Two open requests. */
  static final Plan CONCURRENCY = new Plan("concurrency", 0, 0, 2, 1, 0, 1, 0, 0, 0);

  /** As {@link #BUCKET}, with two open requests. */
  static final Plan RATE_AND_CONCURRENCY = new Plan("both", 2, 10, 2, 1, 0, 1, 0, 0, 0);

  /** As {@link #BUCKET}, with a hard limit of 4 units a second and bursts of 20. */
  static final Plan HARD_LIMIT = new Plan("hard limit", 2, 10, 0, 1, 0, 1, 4, 20, 2);

  /** As {@link #BUCKET}, with a hard limit of 40 units a second and bursts of 200. */
  static final Plan WIDE_HARD_LIMIT = new Plan("wide", 2, 10, 0, 1, 0, 1, 40, 200, 20);

  final DecisionContext context;
  boolean overloaded;
  private double nowMs = START_MS;

  QuotaFixture(int gateways, boolean sharedCounter) {
    context = new DecisionContext(settings(gateways, sharedCounter), SEED);
    context.start(nowMs);
  }

  static PolicySettings settings(int gateways, boolean sharedCounter) {
    PolicySettings usual = PolicyFixture.settings(sharedCounter, gateways, false);
    return new PolicySettings(
        gateways,
        0,
        usual.zone(),
        usual.maxRequestUnits(),
        usual.crossZonePrice(),
        usual.endpointWeightsTold(),
        usual.requestClasses(),
        List.of(
            BUCKET, FIXED_WINDOW, CONCURRENCY, RATE_AND_CONCURRENCY, HARD_LIMIT, WIDE_HARD_LIMIT),
        usual.capabilities(),
        usual.rules());
  }

  /** Begins an event so much later; its actions are collected anew. */
  QuotaFixture pass(double ms) {
    nowMs += ms;
    context.begin(nowMs);
    return this;
  }

  double nowMs() {
    return nowMs;
  }

  CustomerAccount account(Plan plan, int gatewaysOfCustomer) {
    return new CustomerAccount(context, 42, plan, gatewaysOfCustomer);
  }

  RequestReceived request(String id, Plan plan, long customer, double units) {
    int gateways = context.settings().gatewayCount();
    return new RequestReceived(
        id, null, plan.name(), customer, gateways, units, nowMs + 4_000, null);
  }

  /** The calls to the counter made in the present event. */
  List<IncrementCounter> calls() {
    return context.actions().stream()
        .map(
            (Action action) -> {
              if (action instanceof IncrementCounter call) {
                return call;
              }
              throw new AssertionError("no call to the counter: " + action);
            })
        .toList();
  }

  IncrementCounter onlyCall() {
    if (calls().size() != 1) {
      throw new AssertionError("not one call: " + calls());
    }
    return calls().get(0);
  }

  @Override
  public double meanServiceMs() {
    return MEAN_SERVICE_MS;
  }

  @Override
  public boolean isOverloadedForUnconfirmed(double priorityWeight) {
    return overloaded;
  }
}
