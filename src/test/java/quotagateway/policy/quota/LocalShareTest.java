package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests the units and starts that one of ten gateways admits without a reply, for a burst of 10
 * units and a rate of 2 units per second.
 */
class LocalShareTest {

  private final QuotaFixture fixture = new QuotaFixture(10, true);
  private final LocalShare share = new LocalShare(fixture.context, 10);

  @Test
  void holdsMaxRequestUnitsWhenShareOfBurstIsSmaller() {
    share.refill(QuotaFixture.BUCKET, 3_600, QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(share.hasUnits(4));
    assertFalse(share.hasUnits(4.01));
  }

  @Test
  void refillsByEvenShareOfRate() {
    share.charge(100);
    assertFalse(share.hasUnits(0.01), "the share is empty, but not negative");
    share.refill(QuotaFixture.BUCKET, 5, QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(share.hasUnits(0.99));
    assertFalse(share.hasUnits(1.01), "a tenth of 2 units per second, for 5 s");
  }

  /**
   * If all gateways began with a full share, they would all admit a first request at the same time.
   */
  @Test
  void startsWithRandomPartOfMaxRequestUnits() {
    LocalShare other = new LocalShare(fixture.context, 10);
    assertFalse(share.hasUnits(4));
    assertNotEquals(measureUnits(share), measureUnits(other));
  }

  private static double measureUnits(LocalShare share) {
    double units = 0;
    while (share.hasUnits(units + 0.001)) {
      units += 0.001;
    }
    return units;
  }

  @Test
  void limitsStartsToEvenShareOfConcurrencyLimit() {
    assertTrue(share.tryAcquireStart());
    assertFalse(share.tryAcquireStart());
    share.refill(QuotaFixture.CONCURRENCY, 0.49, QuotaFixture.MEAN_SERVICE_MS);
    assertFalse(share.tryAcquireStart());
    share.refill(QuotaFixture.CONCURRENCY, 0.02, QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(share.tryAcquireStart(), "2 permits, 10 requests per second each, 10 gateways");
    share.refill(QuotaFixture.CONCURRENCY, 3_600, QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(share.tryAcquireStart());
    assertFalse(share.tryAcquireStart(), "at most one start accumulates");
    assertEquals(0, fixture.context.actions().size());
  }
}
