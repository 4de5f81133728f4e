package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Windows and names of a customer's counts; the names are what all gateways have to agree on. */
class CounterWindowsTest {

  private static final double NOW_MS = 1_000_000;

  @Test
  void gatewaysOfDifferentStartsAgreeOnTheNames() {
    CounterWindows windows = new CounterWindows(42);
    assertEquals("16:39", windows.unitsCounterName(39));
    assertEquals("16:o39", windows.permitsCounterName(39));
    long window = windows.windowAt(NOW_MS);
    assertEquals(window, new CounterWindows(42).windowAt(NOW_MS));
  }

  @Test
  void aWindowEndsWhereTheNextOneBegins() {
    CounterWindows windows = new CounterWindows(42);
    windows.applyPlan(QuotaFixture.BUCKET, 30, true);
    long window = windows.windowAt(NOW_MS);
    assertEquals(window, windows.windowAt(windows.startMs(window)));
    assertEquals(window, windows.windowAt(windows.startMs(window + 1) - 0.01));
    assertEquals(window + 1, windows.windowAt(windows.startMs(window + 1)));
    assertEquals(5_000, windows.startMs(window + 1) - windows.startMs(window));
  }

  /** If all windows ended at once, all customers would have a new one at once. */
  @Test
  void windowsOfDifferentCustomersBeginAtDifferentTimes() {
    Set<Double> starts = new HashSet<>();
    for (long customer = 0; customer < 100; customer++) {
      CounterWindows windows = new CounterWindows(customer);
      starts.add(windows.startMs(windows.windowAt(NOW_MS)));
    }
    assertNotEquals(1, starts.size());
    assertEquals(100, starts.size(), 5);
  }
}
