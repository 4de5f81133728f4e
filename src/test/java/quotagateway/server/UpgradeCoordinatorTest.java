package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.config.ResourceLimits;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestRequests;
import quotagateway.transport.ConnectionBudget;

/** Tests an upgrade, in which a second process starts and the old one then shuts down. */
@Timeout(30)
class UpgradeCoordinatorTest {

  private static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

  private final GatewayFixture fixture = new GatewayFixture();

  @TempDir Path tempFolder;

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * Some clients are connected to the old process when it receives SIGTERM, and others connect
   * afterwards. All receive their responses, and the upstream load balancer never sees a gateway
   * that is not ready.
   */
  @Test
  void oldProcessShutsDownWithoutRejectingRequests() throws Exception {
    GatewayServer oldGateway = fixture.start();
    fixture.startSecondGateway();
    assertEquals(200, fixture.operator("GET /ready"));
    List<TestClient> clientsOfOldGateway = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      clientsOfOldGateway.add(fixture.client());
    }
    Thread shutdownThread = new Thread(oldGateway::shutDownGracefully);
    shutdownThread.start();
    for (int i = 0; i < 20; i++) {
      assertEquals(
          200, clientsOfOldGateway.get(i).exchange(TestRequests.get("r" + i, 3000)).status());
    }
    shutdownThread.join(10_000);
    assertFalse(shutdownThread.isAlive());
    for (int i = 0; i < 20; i++) {
      assertEquals(200, fixture.client().exchange(READINESS_REQUEST).status());
      assertEquals(200, fixture.client().exchange(TestRequests.get("s" + i, 3000)).status());
    }
  }

  /**
   * Without a second process, connections must still be accepted after SIGTERM until the upstream
   * load balancer has noticed the shutdown, or they would be refused.
   */
  @Test
  void singleProcessStillAcceptsConnectionsAfterShutdownHasBegun() throws Exception {
    GatewayServer gateway = fixture.start();
    Thread shutdownThread = new Thread(gateway::shutDownGracefully);
    shutdownThread.start();
    while (gateway.lifecycle().isServing()) {
      Thread.onSpinWait();
    }
    assertEquals(503, fixture.client().exchange(READINESS_REQUEST).status());
    shutdownThread.join(10_000);
  }

  /**
   * A process was killed, and its lock files remain. If they were mistaken for a running process,
   * the next shutdown would refuse connections that no other process accepts.
   */
  @Test
  void lockFilesOfKilledProcessDoNotCountAsAProcess() throws Exception {
    Files.writeString(tempFolder.resolve("serving-0"), "junk of one that was kil");
    Files.createDirectory(tempFolder.resolve("started-0"));
    UpgradeCoordinator blocked = new UpgradeCoordinator(tempFolder, "started");
    blocked.announce();
    assertFalse(
        blocked.isOtherProcessPresent(), "a folder in place of a lock file counts as a process");
    UpgradeCoordinator first = new UpgradeCoordinator(tempFolder, "serving");
    first.announce();
    assertFalse(first.isOtherProcessPresent());
    UpgradeCoordinator second = new UpgradeCoordinator(tempFolder, "serving");
    second.announce();
    assertTrue(first.isOtherProcessPresent());
    assertTrue(second.isOtherProcessPresent());
  }

  /**
   * Two processes together stay within the limits of one. The remaining process gets all
   * descriptors back.
   */
  @Test
  void twoProcessesShareTheDescriptorLimitOfOne() {
    ResourceLimits limits = ResourceLimits.of(384, 144, 0.3);
    ConnectionBudget budget = new ConnectionBudget(limits.maxConnections());
    int maxClientConnectionsAlone = budget.maxClientConnections();
    budget.shareWithOtherProcess(limits.maxConnectionsDuringUpgrade());
    assertTrue(
        budget.maxClientConnections() <= maxClientConnectionsAlone / 2,
        budget.maxClientConnections() + " of " + maxClientConnectionsAlone);
    assertTrue(2 * limits.maxConnectionsDuringUpgrade() < 384);
    budget.shareWithOtherProcess(0);
    assertEquals(maxClientConnectionsAlone, budget.maxClientConnections());
  }
}
