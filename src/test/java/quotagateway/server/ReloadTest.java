package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/** A replaced configuration, applied by SIGHUP while clients are served. */
@Timeout(30)
class ReloadTest {

  @TempDir private Path folder;
  private final GatewayFixture before = new GatewayFixture();
  private final GatewayFixture after = new GatewayFixture();
  private Path file;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    file = folder.resolve("config.json");
    gateway = before.start();
    TestQueues.next(before.discovery.watches);
  }

  @AfterEach
  void close() throws Exception {
    before.close();
    after.close();
  }

  private void reload(String config) throws Exception {
    Files.writeString(file, config);
    gateway.reload(file);
  }

  /**
   * Discovery and the counter move to other addresses, and the old ones close 1.5 s later. No
   * request fails meanwhile, and the watch goes on from the version that it had.
   */
  @Test
  void reloadMovesDiscoveryAndCounterWithoutLosingARequest() throws Exception {
    TestClient client = before.client();
    assertEquals(200, client.ask(TestRequests.get("r1", 3000)).status());
    TestQueues.next(before.counter.calls);
    reload(after.config());
    assertTrue(TestQueues.next(after.discovery.watches).contains("index=7 "));
    after.discovery.send(EndpointListJson.list(8, false) + "\n");
    int n = 0;
    while (after.counter.calls.poll(20, TimeUnit.MILLISECONDS) == null) {
      assertEquals(200, client.ask(TestRequests.get("m" + n++, 3000)).status());
    }
    before.counter.calls.clear();
    assertEquals(200, client.ask(TestRequests.get("r2", 3000)).status());
    TestQueues.next(after.counter.calls);
    assertTrue(before.counter.calls.isEmpty());
    assertTrue(before.discovery.watches.isEmpty());
  }

  /** The file is cut, names no address, or is gone: the addresses in use stay. */
  @Test
  void rejectedFileLeavesTheAddressesInUse() throws Exception {
    reload("{\"discovery\":");
    reload(after.config().replace("\"discovery\":\"127.0.0.1", "\"discovery\":\"nowhere"));
    Files.delete(file);
    gateway.reload(file);
    TestClient client = before.client();
    assertEquals(200, client.ask(TestRequests.get("r1", 3000)).status());
    TestQueues.next(before.counter.calls);
    before.discovery.send(EndpointListJson.list(8, true) + "\n");
    for (int n = 0; client.ask(TestRequests.get("r" + n, 500)).status() == 200; n++) {
      Thread.onSpinWait();
    }
    assertTrue(after.discovery.watches.isEmpty());
  }

  private static String withClass(String config, String name, String repeat) {
    return config.replace(
        "\"Profiles\":[",
        "\"Profiles\":[{\"Name\":\""
            + name
            + "\",\"Repeat\":\""
            + repeat
            + "\",\"AimMs\":1500,\"DeadlineMs\":4000,\"Value\":1,\"Group\":\"all\"},");
  }

  private String own() {
    return before.config(EndpointListJson.entry("s-1", before.backend.port(), "active"));
  }

  @Test
  void classIsAddedAtOnceAndADroppedOneServedForALittleLonger() throws Exception {
    TestClient client = before.client();
    String extra = TestRequests.get("r1", 3000).replace("quote", "extra");
    assertEquals(400, client.ask(extra).status());
    reload(withClass(own(), "extra", "pure").replace("\"Name\":\"quote\"", "\"Name\":\"other\""));
    while (client.ask(extra).status() != 200) {
      Thread.onSpinWait();
    }
    assertEquals(
        200,
        client.ask(TestRequests.get("r2", 3000)).status(),
        "those under way still name the old class");
    for (int n = 0; client.ask(TestRequests.get("r" + n, 3000)).status() == 200; n++) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertEquals(400, client.ask(TestRequests.get("r4", 3000)).status());
    assertEquals(200, client.ask(extra).status());
  }

  /** Clients use the old method until they have heard; both ways are served meanwhile. */
  @Test
  void classWhoseIdempotencyChangesIsServedInBothWays() throws Exception {
    TestClient client = before.client();
    String withKey = TestRequests.post("p1", "b").replace("buy", "quote");
    assertEquals(400, client.ask(withKey).status());
    reload(own().replace("\"quote\",\"Repeat\":\"pure\"", "\"quote\",\"Repeat\":\"token\""));
    while (client.ask(withKey).status() != 200) {
      Thread.onSpinWait();
    }
    assertEquals(200, client.ask(TestRequests.get("r1", 3000)).status());
  }

  /**
   * A request of a class that only earlier settings name is read by them, though it comes after the
   * new ones. It must have the number of attempts that those allow, not that of the new ones.
   */
  @Test
  void requestReadByEarlierSettingsHasTheirNumberOfAttempts() throws Exception {
    TestClient client = before.client();
    reload(withClass(own(), "extra", "pure").replace("\"MaxAttempts\":6", "\"MaxAttempts\":1"));
    while (client.ask(TestRequests.get("e1", 3000).replace("quote", "extra")).status() == 400) {
      Thread.onSpinWait();
    }
    reload(withClass(own(), "extra", "pure").replace("\"Name\":\"quote\"", "\"Name\":\"other\""));
    while (client.ask(TestRequests.get("o1", 3000).replace("quote", "other")).status() == 400) {
      Thread.onSpinWait();
    }
    before.backend.responder =
        (request, out) -> TextStreams.write(out, FakeBackend.NOT_STARTED_RESPONSE);
    before.backend.received.clear();
    assertEquals(503, client.ask(TestRequests.get("r1", 3000)).status());
    assertEquals(1, before.backend.received.size());
  }

  /**
   * A file with one fault, beside a new class and a new address, is rejected whole: neither is in
   * use. The same file without the fault then brings both.
   */
  @Test
  void nothingIsAppliedOfARejectedFile() throws Exception {
    String good =
        withClass(own(), "extra", "pure")
            .replace("127.0.0.1:" + before.discovery.port(), "127.0.0.1:" + after.discovery.port());
    String extra = TestRequests.get("r1", 3000).replace("quote", "extra");
    TestClient client = before.client();
    for (String broken :
        new String[] {
          "",
          "{}",
          good.substring(0, good.length() / 2),
          good + "}",
          good.replaceAll("\"settings\"", "\"setings\""),
          good.replace("\"MaxAttempts\":6,", ""),
          good.replace("\"MaxAttempts\":6", "\"MaxAttempts\":0"),
          good.replace("\"MaxAttempts\":6", "\"MaxAttempts\":\"6\""),
          good.replaceFirst("\"DeadlineMs\":4000,", ""),
          good.replaceFirst("4000", "-4000"),
          good.replaceFirst("4000", "null"),
          good.replaceFirst("\"pure\"", "\"sometimes\""),
          good.replaceFirst("\"Repeat\":\"pure\",", ""),
          good.replace("\"Rules\"", "\"Rule\""),
          good.replace("\"counter\":", "\"count\":"),
          good.replace("\"Refill\":400,", "")
        }) {
      reload(broken);
      // The loop has done by the second question whatever the reload had asked of it.
      assertEquals(200, client.ask(TestRequests.get("g" + broken.hashCode(), 3000)).status());
      assertEquals(400, client.ask(extra).status(), broken);
    }
    assertTrue(after.discovery.watches.isEmpty());
    reload(good);
    while (client.ask(extra).status() != 200) {
      Thread.onSpinWait();
    }
    TestQueues.next(after.discovery.watches);
  }
}
