package willowdoor.scale;

import java.util.List;
import willowdoor.GatewayApi.Allowed;
import willowdoor.GatewayApi.Group;
import willowdoor.GatewayApi.Plan;
import willowdoor.GatewayApi.Repeat;
import willowdoor.GatewayApi.RequestClass;
import willowdoor.GatewayApi.Rules;
import willowdoor.GatewayApi.Settings;

/** The settings of the scale tests: one class that is safe to repeat, and one plan with a rate. */
final class ScaleSettings {

  static final RequestClass CLASS =
      new RequestClass("convert", 1, 0, 1000, 4000, Repeat.SAFE, Group.ALL, 0, false);

  /** 2 units a second, 10 at once. */
  static final Plan PLAN = new Plan("team", 2, 10, 0, 1, 0, 1, 0, 0, 0);

  static final double MOST_UNITS = 4;
  static final double COUNT_LIMIT_MS = 50;
  private static final double COLD_MS = 10_000;

  private ScaleSettings() {}

  /** The settings of one of so many front doors, in a zone of the {@link RosterModel}. */
  static Settings of(int gateways, int self) {
    return new Settings(
        gateways,
        self,
        "z" + self % RosterModel.ZONES,
        MOST_UNITS,
        0,
        false,
        List.of(CLASS),
        List.of(PLAN),
        new Allowed(true, COUNT_LIMIT_MS, true, false, 4, 20_000, true, 2000, false),
        new Rules(16, 0.25, COLD_MS, 4, 1500));
  }
}
