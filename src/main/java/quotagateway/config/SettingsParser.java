package quotagateway.config;

import static quotagateway.config.JsonFields.child;
import static quotagateway.config.JsonFields.children;
import static quotagateway.config.JsonFields.flag;
import static quotagateway.config.JsonFields.number;
import static quotagateway.config.JsonFields.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;
import quotagateway.policy.settings.ServiceRules;

/**
 * The settings object as the wire names it; the adapter and the real front door read the same one.
 */
public final class SettingsParser {

  private SettingsParser() {}

  public static PolicySettings read(Map<String, Object> s) {
    Map<String, Object> bounds = child(s, "Bounds");
    Map<String, Object> extra = child(s, "Extra");
    Map<String, Object> rules = child(s, "Rules");
    List<RequestClass> classes = new ArrayList<>();
    for (Map<String, Object> c : children(s, "Profiles")) {
      classes.add(
          new RequestClass(
              text(c, "Name"),
              number(c, "Value", 1),
              number(c, "LateValue"),
              number(c, "AimMs"),
              number(c, "DeadlineMs"),
              switch (text(c, "Repeat")) {
                case "pure" -> Idempotency.IDEMPOTENT;
                case "token" -> Idempotency.IDEMPOTENT_WITH_KEY;
                default -> Idempotency.NOT_IDEMPOTENT;
              },
              switch (text(c, "Group")) {
                case "all" -> DeduplicationScope.ALL;
                case "zone" -> DeduplicationScope.ZONE;
                default -> DeduplicationScope.CELL;
              },
              number(c, "RepeatWindowMs"),
              flag(c, "Stream")));
    }
    List<Plan> plans = new ArrayList<>();
    for (Map<String, Object> p : children(s, "Tariffs")) {
      plans.add(
          new Plan(
              text(p, "Name"),
              number(p, "Refill"),
              number(p, "PeakUnits"),
              (int) number(p, "Open"),
              number(p, "WorthFactor", 1),
              number(p, "BeyondEarns"),
              number(p, "OverrunCost"),
              number(p, "CeilingRate"),
              number(p, "CeilingBurst"),
              number(p, "HardSlack")));
    }
    String weights = text(s, "WeightKind");
    return new PolicySettings(
        (int) number(s, "Balancers", 1),
        (int) number(s, "SelfIndex"),
        text(s, "MyZone"),
        number(extra, "MaxUnits", 1),
        number(child(s, "Prices"), "CrossZone"),
        weights.equals("nominal") || weights.equals("rough"),
        classes,
        plans,
        new Capabilities(
            flag(extra, "Counter"),
            number(extra, "CountLimitMs"),
            flag(bounds, "Cancel"),
            flag(bounds, "MayDuplicate"),
            (int) number(bounds, "MaxAttempts", 1),
            (int) number(bounds, "MaxOpen", Integer.MAX_VALUE),
            flag(bounds, "RetryAfter"),
            number(bounds, "MaxRetryAfterMs"),
            text(s, "Discovery").equals("ask")),
        new ServiceRules(
            number(rules, "AnswerSlackMs"),
            number(rules, "ColdFrom", 1),
            number(rules, "ColdMs"),
            number(rules, "TipMultiple", 1),
            number(rules, "TipAfterMs", 1)));
  }
}
