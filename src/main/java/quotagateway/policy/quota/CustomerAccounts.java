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
 * is added, the least recently used one is dropped if it has expired or there are too many, so that
 * memory does not grow with the number of all customers ever seen or named by clients.
 *
 * <p>Accounts of customers without any attempt so far are kept apart: whoever sends requests under
 * ever new names can displace these only, not the use that customers have made of their quotas.
 */
final class CustomerAccounts {

  /**
   * Idle time after which an account has expired. By then the counter has also removed the
   * customer's shared counts.
   */
  private static final double MAX_IDLE_MS = PendingCounterCalls.COUNT_TTL_MS;

  /** Share of all accounts that may belong to customers without any attempt. */
  private static final double MAX_UNUSED_SHARE = 0.25;

  private final DecisionContext context;
  private final Map<String, Plan> plansByName = new HashMap<>();

  /** Accounts of customers for which an attempt has been started. */
  private final LruAccounts used;

  /** Accounts of customers for which no attempt has been started. */
  private final LruAccounts unused;

  CustomerAccounts(DecisionContext context) {
    this(context, Integer.MAX_VALUE);
  }

  /**
   * Creates an empty collection.
   *
   * @param maxAccounts most accounts to keep, besides those that have open requests
   */
  CustomerAccounts(DecisionContext context, int maxAccounts) {
    this.context = context;
    int maxUnused = (int) (maxAccounts * MAX_UNUSED_SHARE);
    used = new LruAccounts(context, maxAccounts - maxUnused);
    unused = new LruAccounts(context, maxUnused);
    indexPlans();
  }

  /**
   * Returns the account of a request's customer, refilled up to the current time. A customer whose
   * plan is not in the settings gets the plan with the lowest rate.
   */
  CustomerAccount forRequest(RequestReceived request, double meanServiceMs) {
    CustomerAccount account = used.get(request.customer());
    if (account == null) {
      account = unused.computeIfAbsent(request.customer(), customer -> createAccount(request));
    }
    account.advance(meanServiceMs);
    return account;
  }

  /** Records that an attempt has been started for the customer of an account. */
  void markUsed(CustomerAccount account) {
    if (unused.remove(account.customer(), account)) {
      used.put(account.customer(), account);
    }
  }

  /** Returns the number of accounts. */
  int size() {
    return used.size() + unused.size();
  }

  /**
   * Applies the plans of new settings to all accounts. An account whose plan no longer exists keeps
   * it unchanged.
   */
  void applySettings(double meanServiceMs) {
    indexPlans();
    used.values().forEach(account -> applySettings(account, meanServiceMs));
    unused.values().forEach(account -> applySettings(account, meanServiceMs));
  }

  private void applySettings(CustomerAccount account, double meanServiceMs) {
    Plan current = account.plan();
    Plan changed = plansByName.getOrDefault(current.name(), current);
    if (!changed.equals(current)) {
      account.changePlan(changed, meanServiceMs);
    }
  }

  /** Brings all accounts up to the current time. */
  void advance(double meanServiceMs) {
    used.values().forEach(account -> account.advance(meanServiceMs));
    unused.values().forEach(account -> account.advance(meanServiceMs));
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

  /**
   * Orders accounts by last use, and drops the least recently used one if it has expired, or if
   * there are too many and it is not in use.
   */
  private static final class LruAccounts extends LinkedHashMap<Long, CustomerAccount> {
    private static final long serialVersionUID = 1;

    private final transient DecisionContext context;
    private final int maxAccounts;

    LruAccounts(DecisionContext context, int maxAccounts) {
      super(16, 0.75f, true);
      this.context = context;
      this.maxAccounts = maxAccounts;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, CustomerAccount> eldest) {
      CustomerAccount account = eldest.getValue();
      boolean expired =
          context.nowMs() - account.advancedAtMs() > MAX_IDLE_MS && account.attemptsInFlight() == 0;
      if (expired || size() <= maxAccounts) {
        return expired;
      }
      if (account.isInUse()) {
        // Moves it behind the others, so that the next one is looked at the next time.
        get(eldest.getKey());
        return false;
      }
      return true;
    }
  }
}
