package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the division of a process's connections between clients and backends. */
class ConnectionBudgetTest {

  private final ConnectionBudget budget = new ConnectionBudget(100);

  /** Many client connections must not prevent the first requests from reaching a backend. */
  @Test
  void reservesAQuarterForBackendsWithoutConnections() {
    assertEquals(75, budget.maxClientConnections());
  }

  @Test
  void lowersTheClientLimitAsBackendsUseMoreConnections() {
    budget.addBackendConnections(20);
    assertEquals(72, budget.maxClientConnections());
    budget.addBackendConnections(-3);
    assertEquals(75, budget.maxClientConnections());
  }

  @Test
  void idleBackendConnectionsDoNotLowerTheClientLimit() {
    budget.addBackendConnections(40);
    assertEquals(52, budget.maxClientConnections());
    budget.addIdleBackendConnections(30);
    assertEquals(75, budget.maxClientConnections());
    budget.addIdleBackendConnections(-30);
    assertEquals(52, budget.maxClientConnections());
  }

  @Test
  void isExceededByConnectionsOfClientsAndBackendsTogether() {
    budget.addBackendConnections(40);
    budget.addClientConnections(60);
    assertFalse(budget.isExceeded());
    budget.addClientConnections(1);
    assertTrue(budget.isExceeded());
  }

  @Test
  void limitsBackendsToLessThanHalfOfTheConnections() {
    budget.addBackendConnections(43);
    assertTrue(budget.hasRoomForBackendConnection());
    budget.addBackendConnections(1);
    assertFalse(budget.hasRoomForBackendConnection());
  }

  @Test
  void hasNoRoomForBackendsWhenClientsUseAllOtherConnections() {
    budget.addBackendConnections(1);
    budget.addClientConnections(98);
    assertTrue(budget.hasRoomForBackendConnection());
    budget.addClientConnections(1);
    assertFalse(budget.hasRoomForBackendConnection());
  }

  /** During an upgrade two processes share the descriptors, and either may end first. */
  @Test
  void lowersTheLimitWhileAnotherProcessRuns() {
    budget.shareWithOtherProcess(40);
    assertEquals(30, budget.maxClientConnections());
    budget.shareWithOtherProcess(0);
    assertEquals(75, budget.maxClientConnections());
    budget.shareWithOtherProcess(1_000);
    assertEquals(75, budget.maxClientConnections());
  }
}
