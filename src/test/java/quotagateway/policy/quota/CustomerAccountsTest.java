package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

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
