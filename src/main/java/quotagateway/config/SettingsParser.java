package quotagateway.config;

import static quotagateway.config.JsonFields.child;
import static quotagateway.config.JsonFields.children;
import static quotagateway.config.JsonFields.flag;
import static quotagateway.config.JsonFields.number;
import static quotagateway.config.JsonFields.text;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;
import quotagateway.policy.settings.ServiceRules;

/**
 * Parses the settings object of the configuration file and of the simulator's first message. The
 * settings' keys are defined only in this class.
 */
public final class SettingsParser {

  /** Keys that a reloaded file may omit even if the file in use has them. */
  static final Set<String> OPTIONAL_KEYS = Set.of("AimStretch", "Fleet");

  private static final String CLASSES = "Profiles";
  private static final String PLANS = "Tariffs";
  private static final String BOUNDS = "Bounds";
  private static final String MAX_ATTEMPTS = "MaxAttempts";
  private static final String NAME = "Name";
  private static final String DEADLINE_MS = "DeadlineMs";
  private static final String IDEMPOTENCY = "Repeat";

  private static final String IDEMPOTENT = "pure";
  private static final String IDEMPOTENT_WITH_KEY = "token";
  private static final String NOT_IDEMPOTENT = "side_effect";

  // Defaults for timeouts that the settings do not state
  private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
  private static final double DEFAULT_IDLE_TIMEOUT_MS = 15_000;

  private SettingsParser() {}

  /** Parses the settings. A setting that is missing or of another type gets its default. */
  public static PolicySettings parse(Map<String, Object> settings) {
    Map<String, Object> extra = child(settings, "Extra");
    String weightKind = text(settings, "WeightKind");
    return new PolicySettings(
        (int) number(settings, "Balancers", 1),
        (int) number(settings, "SelfIndex"),
        text(settings, "MyZone"),
        number(extra, "MaxUnits", 1),
        number(child(settings, "Prices"), "CrossZone"),
        weightKind.equals("nominal") || weightKind.equals("rough"),
        requestClasses(settings),
        plans(settings),
        capabilities(settings),
        serviceRules(child(settings, "Rules")));
  }

  private static List<RequestClass> requestClasses(Map<String, Object> settings) {
    List<RequestClass> classes = new ArrayList<>();
    for (Map<String, Object> fields : children(settings, CLASSES)) {
      classes.add(
          new RequestClass(
              text(fields, NAME),
              number(fields, "Value", 1),
              number(fields, "LateValue"),
              number(fields, "AimMs"),
              number(fields, DEADLINE_MS),
              idempotency(text(fields, IDEMPOTENCY)),
              deduplicationScope(text(fields, "Group")),
              number(fields, "RepeatWindowMs"),
              flag(fields, "Stream")));
    }
    return classes;
  }

  private static Idempotency idempotency(String value) {
    return switch (value) {
      case IDEMPOTENT -> Idempotency.IDEMPOTENT;
      case IDEMPOTENT_WITH_KEY -> Idempotency.IDEMPOTENT_WITH_KEY;
      default -> Idempotency.NOT_IDEMPOTENT;
    };
  }

  private static DeduplicationScope deduplicationScope(String value) {
    return switch (value) {
      case "all" -> DeduplicationScope.ALL;
      case "zone" -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.CELL;
    };
  }

  private static List<Plan> plans(Map<String, Object> settings) {
    List<Plan> plans = new ArrayList<>();
    for (Map<String, Object> fields : children(settings, PLANS)) {
      plans.add(
          new Plan(
              text(fields, NAME),
              number(fields, "Refill"),
              number(fields, "PeakUnits"),
              (int) number(fields, "Open"),
              number(fields, "WorthFactor", 1),
              number(fields, "BeyondEarns"),
              number(fields, "OverrunCost"),
              number(fields, "CeilingRate"),
              number(fields, "CeilingBurst"),
              number(fields, "HardSlack")));
    }
    return plans;
  }

  private static Capabilities capabilities(Map<String, Object> settings) {
    Map<String, Object> bounds = child(settings, BOUNDS);
    Map<String, Object> extra = child(settings, "Extra");
    return new Capabilities(
        flag(extra, "Counter"),
        number(extra, "CountLimitMs"),
        flag(bounds, "Cancel"),
        flag(bounds, "MayDuplicate"),
        (int) number(bounds, MAX_ATTEMPTS, 1),
        (int) number(bounds, "MaxOpen", Integer.MAX_VALUE),
        flag(bounds, "RetryAfter"),
        number(bounds, "MaxRetryAfterMs"),
        text(settings, "Discovery").equals("ask"));
  }

  private static ServiceRules serviceRules(Map<String, Object> rules) {
    return new ServiceRules(
        number(rules, "AnswerSlackMs"),
        number(rules, "ColdFrom", 1),
        number(rules, "ColdMs"),
        number(rules, "TipMultiple", 1),
        number(rules, "TipAfterMs", 1));
  }

  /** Returns the connect timeout of a connection to a backend, in milliseconds. */
  static double connectTimeoutMs(Map<String, Object> settings) {
    return number(child(settings, BOUNDS), "DialTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS);
  }

  /** Returns the idle time after which backends close a connection, in milliseconds. */
  static double idleTimeoutMs(Map<String, Object> settings) {
    return number(child(settings, BOUNDS), "ConnIdleMs", DEFAULT_IDLE_TIMEOUT_MS);
  }

  /**
   * Validates the settings for which a default would cause requests to be rejected or repeated.
   *
   * @throws InvalidConfigurationException if the settings are invalid
   */
  static void validate(Map<String, Object> settings) throws InvalidConfigurationException {
    if (children(settings, CLASSES).isEmpty()) {
      throw new InvalidConfigurationException("settings." + CLASSES, "defines no request classes");
    }
    if (children(settings, PLANS).isEmpty()) {
      throw new InvalidConfigurationException("settings." + PLANS, "defines no plans");
    }
    // The comparison is negated so that NaN is rejected too.
    if (!(number(child(settings, BOUNDS), MAX_ATTEMPTS) >= 1)) {
      throw new InvalidConfigurationException(
          "settings." + BOUNDS + "." + MAX_ATTEMPTS, "is not a positive number");
    }
    Set<String> seenNames = new HashSet<>();
    for (Map<String, Object> fields : children(settings, CLASSES)) {
      validateClass(fields, seenNames);
    }
  }

  private static void validateClass(Map<String, Object> fields, Set<String> seenNames)
      throws InvalidConfigurationException {
    String name = text(fields, NAME);
    String prefix = "settings." + CLASSES + "." + name + ".";
    if (name.isEmpty() || !seenNames.add(name)) {
      throw new InvalidConfigurationException(prefix + NAME, "is empty or not unique");
    }
    double deadlineMs = number(fields, DEADLINE_MS);
    if (!(deadlineMs > 0 && deadlineMs < Double.POSITIVE_INFINITY)) {
      throw new InvalidConfigurationException(prefix + DEADLINE_MS, "is not a positive number");
    }
    switch (text(fields, IDEMPOTENCY)) {
      case IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT -> {}
      default ->
          throw new InvalidConfigurationException(prefix + IDEMPOTENCY, "is not a known value");
    }
  }
}
