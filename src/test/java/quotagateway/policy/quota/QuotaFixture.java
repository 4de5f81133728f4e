package quotagateway.policy.quota;

import java.util.List;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;

/** Test fixture of this package: a context with a clock, plans, and a configurable backend load. */
final class QuotaFixture implements BackendLoad {

  static final long SEED = 7;
  static final double START_MS = 1_000_000;
  static final double MEAN_SERVICE_MS = 100;

  /** A rate of 2 units per second and a burst of 10: the bucket is replicated. */
  static final Plan BUCKET = new Plan("bucket", 2, 10, 0, 1, 0, 1, 0, 0, 0);

  /**
   * A rate of 0.5 units per second and a burst of 10: a refill takes 20 s, so the windows are
   * fixed.
   */
  static final Plan FIXED_WINDOW = new Plan("fixed window", 0.5, 10, 0, 1, 0, 1, 0, 0, 0);

  /** A concurrency limit of two open requests, without a rate. */
  static final Plan CONCURRENCY = new Plan("concurrency", 0, 0, 2, 1, 0, 1, 0, 0, 0);

  /** {@link #BUCKET} with a concurrency limit of two open requests. */
  static final Plan RATE_AND_CONCURRENCY = new Plan("both", 2, 10, 2, 1, 0, 1, 0, 0, 0);

  /** {@link #BUCKET} with a hard limit of 4 units per second and a burst of 20. */
  static final Plan HARD_LIMIT = new Plan("hard limit", 2, 10, 0, 1, 0, 1, 4, 20, 2);

  /** {@link #BUCKET} with a hard limit of 40 units per second and a burst of 200. */
  static final Plan WIDE_HARD_LIMIT = new Plan("wide", 2, 10, 0, 1, 0, 1, 40, 200, 20);

  final DecisionContext context;
  boolean overloaded;
  private double nowMs = START_MS;

  QuotaFixture(int gateways, boolean sharedCounter) {
    context = new DecisionContext(settings(gateways, sharedCounter), SEED);
    context.start(nowMs);
  }

  static PolicySettings settings(int gateways, boolean sharedCounter) {
    PolicySettings defaults = PolicyFixture.settings(sharedCounter, gateways, false);
    return new PolicySettings(
        gateways,
        0,
        defaults.zone(),
        defaults.maxRequestUnits(),
        defaults.crossZonePrice(),
        defaults.endpointWeightsTold(),
        defaults.requestClasses(),
        List.of(
            BUCKET, FIXED_WINDOW, CONCURRENCY, RATE_AND_CONCURRENCY, HARD_LIMIT, WIDE_HARD_LIMIT),
        defaults.capabilities(),
        defaults.rules());
  }

  /** Advances the clock and begins an event with an empty list of actions. */
  QuotaFixture advanceTime(double ms) {
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

  /**
   * Returns the calls to the counter that the current event has emitted. Fails on any other action.
   */
  List<IncrementCounter> calls() {
    return context.actions().stream()
        .map(
            (Action action) -> {
              if (action instanceof IncrementCounter call) {
                return call;
              }
              throw new AssertionError("expected a call to the counter, got: " + action);
            })
        .toList();
  }

  IncrementCounter singleCall() {
    if (calls().size() != 1) {
      throw new AssertionError("expected exactly one call, got: " + calls());
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
