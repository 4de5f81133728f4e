package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.Test;
import quotagateway.policy.action.IncrementCounter;

/** Tests that replies are matched to calls by counter name, in the order of the calls. */
class PendingCounterCallsTest {

  private final QuotaFixture fixture = new QuotaFixture(2, true);
  private final PendingCounterCalls calls = new PendingCounterCalls(fixture.context);
  private final CustomerAccount account = fixture.account(QuotaFixture.BUCKET, 2);

  @Test
  void matchesRepliesToCallsByNameInOrder() {
    PendingCounterCalls.Call first = new PendingCounterCalls.PermitRelease(account);
    PendingCounterCalls.Call second = new PendingCounterCalls.PermitRelease(account);
    PendingCounterCalls.Call other = new PendingCounterCalls.PermitRelease(account);
    calls.submit("a", 1, first);
    calls.submit("b", 2, other);
    calls.submit("a", 3, second);
    assertSame(first, calls.poll("a"));
    assertSame(second, calls.poll("a"));
    assertNull(calls.poll("a"));
    assertSame(other, calls.poll("b"));
    assertNull(calls.poll("never called"));
  }

  @Test
  void emitsIncrementWithAmount() {
    calls.submit("a", -1.5, new PendingCounterCalls.PermitRelease(account));
    assertEquals(
        new IncrementCounter("a", -1.5, PendingCounterCalls.COUNT_TTL_MS), fixture.singleCall());
  }
}
