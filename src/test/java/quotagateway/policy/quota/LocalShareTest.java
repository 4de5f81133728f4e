package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What one of ten gateways admits without a reply, of bursts of 10 and 2 units a second. */
class LocalShareTest {

  private final QuotaFixture fixture = new QuotaFixture(10, true);
  private final LocalShare share = new LocalShare(fixture.context, 10);

  @Test
  void holdsAtMostOneLargestRequestWhereItsPartOfABurstIsSmaller() {
    share.refill(QuotaFixture.BUCKET, 3_600, QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(share.hasUnits(4));
    assertFalse(share.hasUnits(4.01));
  }

  @Test
  void refillsByItsPartOfTheRate() {
    share.charge(100);
    assertFalse(share.hasUnits(0.01), "no more is owed than there was");
    share.refill(QuotaFixture.BUCKET, 5, QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(share.hasUnits(0.99));
    assertFalse(share.hasUnits(1.01), "a tenth of 2 units a second, for 5 s");
  }

  /** If all gateways began with a whole part, they would all admit a first request at once. */
  @Test
  void beginsWithARandomPartOfALargestRequest() {
    LocalShare other = new LocalShare(fixture.context, 10);
    assertFalse(share.hasUnits(4));
    assertNotEquals(unitsOf(share), unitsOf(other));
  }

  private static double unitsOf(LocalShare share) {
    double units = 0;
    while (share.hasUnits(units + 0.001)) {
      units += 0.001;
    }
    return units;
  }

  @Test
  void allowsAFirstStartAndThenOneForEachServiceTime() {
    assertTrue(share.tryAcquireStart());
    assertFalse(share.tryAcquireStart());
    share.refill(QuotaFixture.CONCURRENCY, 0.49, QuotaFixture.MEAN_SERVICE_MS);
    assertFalse(share.tryAcquireStart());
    share.refill(QuotaFixture.CONCURRENCY, 0.02, QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(share.tryAcquireStart(), "2 permits, 10 requests a second each, 10 gateways");
    share.refill(QuotaFixture.CONCURRENCY, 3_600, QuotaFixture.MEAN_SERVICE_MS);
    assertTrue(share.tryAcquireStart());
    assertFalse(share.tryAcquireStart(), "starts are not saved up");
    assertEquals(0, fixture.context.actions().size());
  }
}
