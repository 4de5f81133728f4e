package quotagateway.policy.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.settings.Plan;

/**
 * The accounts of the customers that a gateway has met, in order of use. Each time that another
 * customer is met, the longest unused account is dropped if it has become worthless, so that memory
 * does not grow with all customers ever seen.
 */
final class CustomerAccounts {

  /** An account unused for so long is worthless: its shared counts have been forgotten, too. */
  private static final double MAX_IDLE_MS = PendingCounterCalls.COUNT_TTL_MS;

  private final DecisionContext context;
  private final Map<String, Plan> plansByName = new HashMap<>();
  private final LinkedHashMap<Long, CustomerAccount> accounts;

  CustomerAccounts(DecisionContext context) {
    this.context = context;
    this.accounts = new AccountsByUse(context);
    indexPlans();
  }

  /**
   * The account of the customer of a request, brought to the present. A customer with a plan that
   * the settings do not have gets the strictest one.
   */
  CustomerAccount forRequest(RequestReceived request, double meanServiceMs) {
    CustomerAccount account =
        accounts.computeIfAbsent(request.customer(), missing -> open(request));
    account.advance(meanServiceMs);
    return account;
  }

  /** Applies the plans of new settings to all accounts; a plan that is gone stays as it was. */
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

  private CustomerAccount open(RequestReceived request) {
    Plan plan = plansByName.getOrDefault(request.planName(), strictestPlan());
    return new CustomerAccount(context, request.customer(), plan, request.gatewaysOfCustomer());
  }

  private Plan strictestPlan() {
    return context.settings().plans().stream()
        .filter(plan -> plan.unitsPerSecond() > 0)
        .min(Comparator.comparingDouble(Plan::unitsPerSecond))
        .orElse(new Plan("", 0, 0, 0, 0, 0, 0, 0, 0, 0));
  }

  /** Orders accounts by their last use, and drops the eldest once it is worthless. */
  private static final class AccountsByUse extends LinkedHashMap<Long, CustomerAccount> {
    private static final long serialVersionUID = 1;

    private final transient DecisionContext context;

    AccountsByUse(DecisionContext context) {
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
