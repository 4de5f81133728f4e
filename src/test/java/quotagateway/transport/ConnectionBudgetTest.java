package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How clients and backends share the connections of a process. */
class ConnectionBudgetTest {

  private final ConnectionBudget budget = new ConnectionBudget(100);

  /** A crowd of clients must not keep the first requests from reaching a backend. */
  @Test
  void keepsAQuarterForBackendsThoughTheyHaveNone() {
    assertEquals(75, budget.maxClientConnections());
  }

  @Test
  void leavesBackendsMoreAsTheyUseMore() {
    budget.addBackendConnections(20);
    assertEquals(72, budget.maxClientConnections());
    budget.addBackendConnections(-3);
    assertEquals(75, budget.maxClientConnections());
  }

  @Test
  void givesBackendsLessThanAHalf() {
    budget.addBackendConnections(43);
    assertTrue(budget.hasRoomForBackendConnection());
    budget.addBackendConnections(1);
    assertFalse(budget.hasRoomForBackendConnection());
  }

  @Test
  void givesBackendsNothingWhereClientsHaveAllTheRest() {
    budget.addBackendConnections(1);
    budget.addClientConnections(98);
    assertTrue(budget.hasRoomForBackendConnection());
    budget.addClientConnections(1);
    assertFalse(budget.hasRoomForBackendConnection());
  }

  /** During an upgrade two processes share the descriptors; the other one may end first. */
  @Test
  void sharesWithAnotherProcessForAsLongAsItIsThere() {
    budget.shareWithOtherProcess(40);
    assertEquals(30, budget.maxClientConnections());
    budget.shareWithOtherProcess(0);
    assertEquals(75, budget.maxClientConnections());
    budget.shareWithOtherProcess(1_000);
    assertEquals(75, budget.maxClientConnections());
  }
}
