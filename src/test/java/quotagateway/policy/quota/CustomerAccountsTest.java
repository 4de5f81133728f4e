package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;

/** Tests which account a request gets and how long the account is kept. */
class CustomerAccountsTest {

  private static final long CUSTOMER = 1;
  private static final long OTHER = 2;

  private final QuotaFixture fixture = new QuotaFixture(2, true);
  private final CustomerAccounts accounts = new CustomerAccounts(fixture.context);

  private CustomerAccount account(long customer, Plan plan) {
    return accounts.forRequest(
        fixture.request("r", plan, customer, 1), QuotaFixture.MEAN_SERVICE_MS);
  }

  @Test
  void usesPlanWithLowestRateForUnknownPlan() {
    Plan unknown = new Plan("unknown", 0, 0, 0, 1, 0, 1, 0, 0, 0);
    assertEquals(QuotaFixture.FIXED_WINDOW, account(CUSTOMER, unknown).plan());
  }

  /** Without this, memory would grow with the number of all customers ever seen. */
  @Test
  void dropsExpiredAccountWhenAnotherAccountIsAdded() {
    CustomerAccount first = account(CUSTOMER, QuotaFixture.BUCKET);
    fixture.advanceTime(60_000);
    account(OTHER, QuotaFixture.BUCKET);
    assertSame(
        first,
        account(CUSTOMER, QuotaFixture.BUCKET),
        "60 s is not longer than the maximum idle time");
    fixture.advanceTime(60_001);
    account(OTHER + 1, QuotaFixture.BUCKET);
    account(OTHER + 2, QuotaFixture.BUCKET);
    assertNotSame(first, account(CUSTOMER, QuotaFixture.BUCKET));
  }

  /**
   * A client sends requests under ever new names. Accounts took all of the heap within seconds, as
   * they expired after a minute only.
   */
  @Test
  void accountsAreLimitedInNumber() {
    CustomerAccounts limited = new CustomerAccounts(fixture.context, 40);
    for (int i = 0; i < 1_000; i++) {
      newAccount(limited, 10 + i);
    }
    assertEquals(10, limited.size(), "a quarter is for customers without an attempt");
    for (int i = 0; i < 1_000; i++) {
      limited.markUsed(newAccount(limited, 10 + i));
    }
    assertTrue(limited.size() <= 40, limited.size() + " accounts");
  }

  /** Otherwise new names would give a customer its whole quota again. */
  @Test
  void newNamesDoNotDisplaceCustomersWithAttempts() {
    CustomerAccounts limited = new CustomerAccounts(fixture.context, 40);
    CustomerAccount known = newAccount(limited, CUSTOMER);
    limited.markUsed(known);
    for (int i = 0; i < 1_000; i++) {
      newAccount(limited, 10 + i);
    }
    assertSame(known, newAccount(limited, CUSTOMER));
  }

  /** An open request ends in the account in which it began. */
  @Test
  void accountWithOpenRequestIsNotDisplaced() {
    CustomerAccounts limited = new CustomerAccounts(fixture.context, 40);
    CustomerAccount open = newAccount(limited, CUSTOMER);
    open.recordRequestStart();
    for (int i = 0; i < 1_000; i++) {
      newAccount(limited, 10 + i);
    }
    assertSame(open, newAccount(limited, CUSTOMER));
    open.recordRequestEnd();
    for (int i = 0; i < 1_000; i++) {
      newAccount(limited, 10 + i);
    }
    assertNotSame(open, newAccount(limited, CUSTOMER));
  }

  /** A new account would have the whole hard limit again. */
  @Test
  void accountIsNotDisplacedBeforeItsHardLimitIsRefilled() {
    CustomerAccounts limited = new CustomerAccounts(fixture.context, 40);
    CustomerAccount drawn = account(limited, QuotaFixture.HARD_LIMIT);
    fixture.advanceTime(5_000);
    account(limited, QuotaFixture.HARD_LIMIT);
    assertTrue(drawn.hardLimit().tryAcquire(1, false));
    for (int i = 0; i < 1_000; i++) {
      newAccount(limited, 10 + i);
    }
    assertSame(drawn, account(limited, QuotaFixture.HARD_LIMIT));
    fixture.advanceTime(5_001);
    for (int i = 0; i < 1_000; i++) {
      newAccount(limited, 10 + i);
    }
    assertNotSame(drawn, account(limited, QuotaFixture.HARD_LIMIT));
  }

  private CustomerAccount account(CustomerAccounts owner, Plan plan) {
    return owner.forRequest(fixture.request("r", plan, CUSTOMER, 1), QuotaFixture.MEAN_SERVICE_MS);
  }

  private CustomerAccount newAccount(CustomerAccounts owner, long customer) {
    return owner.forRequest(
        fixture.request("r", QuotaFixture.BUCKET, customer, 1), QuotaFixture.MEAN_SERVICE_MS);
  }

  /** The end of the attempt must be recorded in the account that recorded its start. */
  @Test
  void keepsExpiredAccountWithAttemptInFlight() {
    CustomerAccount busy = account(CUSTOMER, QuotaFixture.BUCKET);
    busy.recordAttemptStart();
    fixture.advanceTime(60_001);
    account(OTHER, QuotaFixture.BUCKET);
    assertSame(busy, account(CUSTOMER, QuotaFixture.BUCKET));
  }

  @Test
  void appliesChangedPlansToExistingAccounts() {
    CustomerAccount changing = account(CUSTOMER, QuotaFixture.BUCKET);
    CustomerAccount staying = account(OTHER, QuotaFixture.CONCURRENCY);
    Plan smaller = new Plan("bucket", 2, 6, 0, 1, 0, 1, 0, 0, 0);
    PolicySettings before = QuotaFixture.settings(2, true);
    fixture.context.replaceSettings(
        new PolicySettings(
            before.gatewayCount(),
            before.gatewayIndex(),
            before.zone(),
            before.maxRequestUnits(),
            before.crossZonePrice(),
            before.endpointWeightsTold(),
            before.requestClasses(),
            List.of(smaller),
            before.capabilities(),
            before.rules()));
    accounts.applySettings(QuotaFixture.MEAN_SERVICE_MS);
    assertEquals(smaller, changing.plan());
    assertEquals(6, changing.availableUnits());
    assertEquals(
        QuotaFixture.CONCURRENCY, staying.plan(), "a removed plan remains in use unchanged");
  }
}
