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

/** An upgrade: a second process starts beside the old one, which then shuts down. */
@Timeout(30)
class UpgradeCoordinatorTest {

  private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

  private final GatewayFixture fixture = new GatewayFixture();

  @TempDir Path folder;

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * Clients are connected to the old process when it gets SIGTERM, and others connect afterwards.
   * All get their responses, and the balancer in front never sees a gateway that is not ready.
   */
  @Test
  void oldProcessShutsDownWithoutRejectingAnybody() throws Exception {
    GatewayServer old = fixture.start();
    fixture.startBeside();
    assertEquals(200, fixture.operator("GET /ready"));
    List<TestClient> before = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      before.add(fixture.client());
    }
    Thread end = new Thread(old::shutDownGracefully);
    end.start();
    for (int i = 0; i < 20; i++) {
      assertEquals(200, before.get(i).ask(TestRequests.get("r" + i, 3000)).status());
    }
    end.join(10_000);
    assertFalse(end.isAlive());
    for (int i = 0; i < 20; i++) {
      assertEquals(200, fixture.client().ask(UP).status());
      assertEquals(200, fixture.client().ask(TestRequests.get("s" + i, 3000)).status());
    }
  }

  /**
   * SIGTERM without a second process: connections are accepted until the balancer in front has
   * noticed, or they would be refused.
   */
  @Test
  void onlyProcessGoesOnAcceptingAfterTheShutdownHasBegun() throws Exception {
    GatewayServer gateway = fixture.start();
    Thread end = new Thread(gateway::shutDownGracefully);
    end.start();
    while (gateway.lifecycle().isServing()) {
      Thread.onSpinWait();
    }
    assertEquals(503, fixture.client().ask(UP).status());
    end.join(10_000);
  }

  /**
   * A process was killed and its lock files stay. Taken for a process that runs, they would have
   * the next shutdown refuse connections that nobody else accepts.
   */
  @Test
  void filesOfAKilledProcessAreNoProcess() throws Exception {
    Files.writeString(folder.resolve("serving-0"), "junk of one that was kil");
    Files.createDirectory(folder.resolve("started-0"));
    UpgradeCoordinator barred = new UpgradeCoordinator(folder, "started");
    barred.announce();
    assertFalse(
        barred.isOtherProcessPresent(), "what is in the way of a lock is no process either");
    UpgradeCoordinator first = new UpgradeCoordinator(folder, "serving");
    first.announce();
    assertFalse(first.isOtherProcessPresent());
    UpgradeCoordinator second = new UpgradeCoordinator(folder, "serving");
    second.announce();
    assertTrue(first.isOtherProcessPresent());
    assertTrue(second.isOtherProcessPresent());
  }

  /**
   * Both processes together are held to the limits of one. The one that stays gets all descriptors
   * back.
   */
  @Test
  void twoProcessesShareTheDescriptorsOfOne() {
    ResourceLimits limits = ResourceLimits.of(384, 144, 0.3);
    ConnectionBudget places = new ConnectionBudget(limits.connections());
    int alone = places.maxClientConnections();
    places.shareWithOtherProcess(limits.connectionsDuringUpgrade());
    assertTrue(
        places.maxClientConnections() <= alone / 2, places.maxClientConnections() + " of " + alone);
    assertTrue(2 * limits.connectionsDuringUpgrade() < 384);
    places.shareWithOtherProcess(0);
    assertEquals(alone, places.maxClientConnections());
  }
}
