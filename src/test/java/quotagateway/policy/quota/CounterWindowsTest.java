package quotagateway.policy.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests the windows and the names of a customer's counts. All gateways have to use the same names.
 */
class CounterWindowsTest {

  private static final double NOW_MS = 1_000_000;

  @Test
  void derivesSameNamesAndWindowsInEachInstance() {
    CounterWindows windows = new CounterWindows(42);
    assertEquals("16:39", windows.unitsCounterName(39));
    assertEquals("16:o39", windows.permitsCounterName(39));
    long window = windows.windowAt(NOW_MS);
    assertEquals(window, new CounterWindows(42).windowAt(NOW_MS));
  }

  @Test
  void endsWindowAtStartOfNextWindow() {
    CounterWindows windows = new CounterWindows(42);
    windows.applyPlan(QuotaFixture.BUCKET, 30, true);
    long window = windows.windowAt(NOW_MS);
    assertEquals(window, windows.windowAt(windows.startMs(window)));
    assertEquals(window, windows.windowAt(windows.startMs(window + 1) - 0.01));
    assertEquals(window + 1, windows.windowAt(windows.startMs(window + 1)));
    assertEquals(5_000, windows.startMs(window + 1) - windows.startMs(window));
  }

  /**
   * If the windows of all customers ended at once, all customers would get a new one at the same
   * time.
   */
  @Test
  void startsWindowsOfDifferentCustomersAtDifferentTimes() {
    Set<Double> starts = new HashSet<>();
    for (long customer = 0; customer < 100; customer++) {
      CounterWindows windows = new CounterWindows(customer);
      starts.add(windows.startMs(windows.windowAt(NOW_MS)));
    }
    assertNotEquals(1, starts.size());
    assertEquals(100, starts.size(), 5);
  }
}
