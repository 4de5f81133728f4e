package willowdoor;

import static willowdoor.JsonFields.child;
import static willowdoor.JsonFields.children;
import static willowdoor.JsonFields.flag;
import static willowdoor.JsonFields.number;
import static willowdoor.JsonFields.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import willowdoor.GatewayApi.Allowed;
import willowdoor.GatewayApi.Group;
import willowdoor.GatewayApi.Plan;
import willowdoor.GatewayApi.Repeat;
import willowdoor.GatewayApi.RequestClass;
import willowdoor.GatewayApi.Rules;
import willowdoor.GatewayApi.Settings;

/**
 * The settings object as the wire names it; the adapter and the real front door read the same one.
 */
public final class WireSettings {

  private WireSettings() {}

  public static Settings read(Map<String, Object> s) {
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
                case "pure" -> Repeat.SAFE;
                case "token" -> Repeat.KEYED;
                default -> Repeat.UNSAFE;
              },
              switch (text(c, "Group")) {
                case "all" -> Group.ALL;
                case "zone" -> Group.ZONE;
                default -> Group.CELL;
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
    return new Settings(
        (int) number(s, "Balancers", 1),
        (int) number(s, "SelfIndex"),
        text(s, "MyZone"),
        number(extra, "MaxUnits", 1),
        number(child(s, "Prices"), "CrossZone"),
        weights.equals("nominal") || weights.equals("rough"),
        classes,
        plans,
        new Allowed(
            flag(extra, "Counter"),
            number(extra, "CountLimitMs"),
            flag(bounds, "Cancel"),
            flag(bounds, "MayDuplicate"),
            (int) number(bounds, "MaxAttempts", 1),
            (int) number(bounds, "MaxOpen", Integer.MAX_VALUE),
            flag(bounds, "RetryAfter"),
            number(bounds, "MaxRetryAfterMs"),
            text(s, "Discovery").equals("ask")),
        new Rules(
            number(rules, "AnswerSlackMs"),
            number(rules, "ColdFrom", 1),
            number(rules, "ColdMs"),
            number(rules, "TipMultiple", 1),
            number(rules, "TipAfterMs", 1)));
  }
}
