package quotagateway.policy.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.settings.Plan;

/**
 * The accounts of the customers that a gateway has seen, in order of last use. When a new account
 * is added, the least recently used one is dropped if it has expired, so that memory does not grow
 * with the number of all customers ever seen.
 */
final class CustomerAccounts {

  /**
   * Idle time after which an account has expired. By then the counter has also removed the
   * customer's shared counts.
   */
  private static final double MAX_IDLE_MS = PendingCounterCalls.COUNT_TTL_MS;

  private final DecisionContext context;
  private final Map<String, Plan> plansByName = new HashMap<>();
  private final LinkedHashMap<Long, CustomerAccount> accounts;

  CustomerAccounts(DecisionContext context) {
    this.context = context;
    this.accounts = new LruAccounts(context);
    indexPlans();
  }

  /**
   * Returns the account of a request's customer, refilled up to the current time. A customer whose
   * plan is not in the settings gets the plan with the lowest rate.
   */
  CustomerAccount forRequest(RequestReceived request, double meanServiceMs) {
    CustomerAccount account =
        accounts.computeIfAbsent(request.customer(), customer -> createAccount(request));
    account.advance(meanServiceMs);
    return account;
  }

  /**
   * Applies the plans of new settings to all accounts. An account whose plan no longer exists keeps
   * it unchanged.
   */
  void applySettings(double meanServiceMs) {
    indexPlans();
    for (CustomerAccount account : accounts.values()) {
      Plan current = account.plan();
      Plan changed = plansByName.getOrDefault(current.name(), current);
      if (!changed.equals(current)) {
        account.changePlan(changed, meanServiceMs);
      }
    }
  }

  private void indexPlans() {
    plansByName.clear();
    context.settings().plans().forEach(plan -> plansByName.put(plan.name(), plan));
  }

  private CustomerAccount createAccount(RequestReceived request) {
    Plan plan = plansByName.getOrDefault(request.planName(), strictestPlan());
    return new CustomerAccount(context, request.customer(), plan, request.gatewaysOfCustomer());
  }

  private Plan strictestPlan() {
    return context.settings().plans().stream()
        .filter(plan -> plan.unitsPerSecond() > 0)
        .min(Comparator.comparingDouble(Plan::unitsPerSecond))
        .orElse(new Plan("", 0, 0, 0, 0, 0, 0, 0, 0, 0));
  }

  /** Orders accounts by last use, and drops the least recently used one if it has expired. */
  private static final class LruAccounts extends LinkedHashMap<Long, CustomerAccount> {
    private static final long serialVersionUID = 1;

    private final transient DecisionContext context;

    LruAccounts(DecisionContext context) {
      super(16, 0.75f, true);
      this.context = context;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, CustomerAccount> eldest) {
      CustomerAccount account = eldest.getValue();
      return context.nowMs() - account.advancedAtMs() > MAX_IDLE_MS
          && account.attemptsInFlight() == 0;
    }
  }
}
