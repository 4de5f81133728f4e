package quotagateway.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how retries are earned and spent. */
class RetryBudgetTest {

  private static int spendAll(RetryBudget budget) {
    int spent = 0;
    while (budget.hasToken()) {
      budget.spend();
      spent++;
    }
    return spent;
  }

  // All gateways together can save up to 30 retries, but each gateway at least one.
  @ParameterizedTest
  @CsvSource({"0, 30", "1, 30", "2, 15", "10, 3", "30, 1", "300, 1"})
  void splitsSavedRetriesAmongGateways(int gatewayCount, int retries) {
    assertEquals(retries, spendAll(new RetryBudget(gatewayCount)));
  }

  @Test
  void earnsOneRetryAfterSevenRequests() {
    RetryBudget budget = new RetryBudget(10);
    spendAll(budget);
    for (int i = 0; i < 6; i++) {
      budget.earn();
    }
    assertFalse(budget.hasToken());
    budget.earn();
    assertTrue(budget.hasToken());
  }

  @Test
  void savesAtMostItsInitialRetries() {
    RetryBudget budget = new RetryBudget(10);
    for (int i = 0; i < 1_000; i++) {
      budget.earn();
    }
    assertEquals(3, spendAll(budget));
  }
}
