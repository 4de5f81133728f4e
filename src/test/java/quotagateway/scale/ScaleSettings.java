package quotagateway.scale;

import java.util.List;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;
import quotagateway.policy.settings.ServiceRules;

/** Settings of the scale tests: one idempotent request class and one plan with a rate limit. */
final class ScaleSettings {

  static final RequestClass CLASS =
      new RequestClass(
          "convert", 1, 0, 1000, 4000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);

  /** A plan with 2 units per second and a burst of 10 units. */
  static final Plan PLAN = new Plan("team", 2, 10, 0, 1, 0, 1, 0, 0, 0);

  static final double MAX_UNITS = 4;
  static final double COUNTER_TIMEOUT_MS = 50;
  private static final double SLOW_START_MS = 10_000;

  private ScaleSettings() {}

  /** Returns the settings of one gateway, in a zone of the {@link EndpointListModel}. */
  static PolicySettings of(int gateways, int index) {
    return new PolicySettings(
        gateways,
        index,
        "z" + index % EndpointListModel.ZONES,
        MAX_UNITS,
        0,
        false,
        List.of(CLASS),
        List.of(PLAN),
        new Capabilities(true, COUNTER_TIMEOUT_MS, true, false, 4, 20_000, true, 2000, false),
        new ServiceRules(16, 0.25, SLOW_START_MS, 4, 1500));
  }
}
