package quotagateway.scale;

import java.util.List;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;
import quotagateway.policy.settings.ServiceRules;

/** The settings of the scale tests: one class that is safe to repeat, and one plan with a rate. */
final class ScaleSettings {

  static final RequestClass CLASS =
      new RequestClass(
          "convert", 1, 0, 1000, 4000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);

  /** 2 units a second, 10 at once. */
  static final Plan PLAN = new Plan("team", 2, 10, 0, 1, 0, 1, 0, 0, 0);

  static final double MAX_UNITS = 4;
  static final double COUNT_LIMIT_MS = 50;
  private static final double COLD_MS = 10_000;

  private ScaleSettings() {}

  /** The settings of one of so many gateways, in a zone of the {@link EndpointListModel}. */
  static PolicySettings of(int gateways, int self) {
    return new PolicySettings(
        gateways,
        self,
        "z" + self % EndpointListModel.ZONES,
        MAX_UNITS,
        0,
        false,
        List.of(CLASS),
        List.of(PLAN),
        new Capabilities(true, COUNT_LIMIT_MS, true, false, 4, 20_000, true, 2000, false),
        new ServiceRules(16, 0.25, COLD_MS, 4, 1500));
  }
}
