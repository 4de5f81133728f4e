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
import quotagateway.testing.Peers;
import quotagateway.testing.Peers.Client;

/** A replaced configuration, applied by SIGHUP while clients are served. */
@Timeout(30)
class ReloadTest {

  @TempDir private Path folder;
  private final Peers before = new Peers();
  private final Peers after = new Peers();
  private Path file;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    file = folder.resolve("config.json");
    gateway = before.start();
    Peers.next(before.watches);
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
    Client client = before.client();
    assertEquals(200, client.ask(Peers.get("r1", 3000)).status());
    Peers.next(before.atCounter);
    reload(after.config());
    assertTrue(Peers.next(after.watches).contains("index=7 "));
    after.tell(Peers.list(8, false) + "\n");
    int n = 0;
    while (after.atCounter.poll(20, TimeUnit.MILLISECONDS) == null) {
      assertEquals(200, client.ask(Peers.get("m" + n++, 3000)).status());
    }
    before.atCounter.clear();
    assertEquals(200, client.ask(Peers.get("r2", 3000)).status());
    Peers.next(after.atCounter);
    assertTrue(before.atCounter.isEmpty());
    assertTrue(before.watches.isEmpty());
  }

  /** The file is cut, names no address, or is gone: the addresses in use stay. */
  @Test
  void rejectedFileLeavesTheAddressesInUse() throws Exception {
    reload("{\"discovery\":");
    reload(after.config().replace("\"discovery\":\"127.0.0.1", "\"discovery\":\"nowhere"));
    Files.delete(file);
    gateway.reload(file);
    Client client = before.client();
    assertEquals(200, client.ask(Peers.get("r1", 3000)).status());
    Peers.next(before.atCounter);
    before.tell(Peers.list(8, true) + "\n");
    for (int n = 0; client.ask(Peers.get("r" + n, 500)).status() == 200; n++) {
      Thread.onSpinWait();
    }
    assertTrue(after.watches.isEmpty());
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
    return before.config(Peers.entry("s-1", before.backend.getLocalPort(), "active"));
  }

  @Test
  void classIsAddedAtOnceAndADroppedOneServedForALittleLonger() throws Exception {
    Client client = before.client();
    String extra = Peers.get("r1", 3000).replace("quote", "extra");
    assertEquals(400, client.ask(extra).status());
    reload(withClass(own(), "extra", "pure").replace("\"Name\":\"quote\"", "\"Name\":\"other\""));
    while (client.ask(extra).status() != 200) {
      Thread.onSpinWait();
    }
    assertEquals(
        200,
        client.ask(Peers.get("r2", 3000)).status(),
        "those under way still name the old class");
    for (int n = 0; client.ask(Peers.get("r" + n, 3000)).status() == 200; n++) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertEquals(400, client.ask(Peers.get("r4", 3000)).status());
    assertEquals(200, client.ask(extra).status());
  }

  /** Clients use the old method until they have heard; both ways are served meanwhile. */
  @Test
  void classWhoseIdempotencyChangesIsServedInBothWays() throws Exception {
    Client client = before.client();
    String withKey = Peers.post("p1", "b").replace("buy", "quote");
    assertEquals(400, client.ask(withKey).status());
    reload(own().replace("\"quote\",\"Repeat\":\"pure\"", "\"quote\",\"Repeat\":\"token\""));
    while (client.ask(withKey).status() != 200) {
      Thread.onSpinWait();
    }
    assertEquals(200, client.ask(Peers.get("r1", 3000)).status());
  }

  /**
   * A request of a class that only earlier settings name is read by them, though it comes after the
   * new ones. It must have the number of attempts that those allow, not that of the new ones.
   */
  @Test
  void requestReadByEarlierSettingsHasTheirNumberOfAttempts() throws Exception {
    Client client = before.client();
    reload(withClass(own(), "extra", "pure").replace("\"MaxAttempts\":6", "\"MaxAttempts\":1"));
    while (client.ask(Peers.get("e1", 3000).replace("quote", "extra")).status() == 400) {
      Thread.onSpinWait();
    }
    reload(withClass(own(), "extra", "pure").replace("\"Name\":\"quote\"", "\"Name\":\"other\""));
    while (client.ask(Peers.get("o1", 3000).replace("quote", "other")).status() == 400) {
      Thread.onSpinWait();
    }
    before.answer = (request, out) -> Peers.write(out, Peers.NOT_STARTED);
    before.atBackend.clear();
    assertEquals(503, client.ask(Peers.get("r1", 3000)).status());
    assertEquals(1, before.atBackend.size());
  }

  /**
   * A file with one fault, beside a new class and a new address, is rejected whole: neither is in
   * use. The same file without the fault then brings both.
   */
  @Test
  void nothingIsAppliedOfARejectedFile() throws Exception {
    String good =
        withClass(own(), "extra", "pure")
            .replace(
                "127.0.0.1:" + before.discovery.getLocalPort(),
                "127.0.0.1:" + after.discovery.getLocalPort());
    String extra = Peers.get("r1", 3000).replace("quote", "extra");
    Client client = before.client();
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
      assertEquals(200, client.ask(Peers.get("g" + broken.hashCode(), 3000)).status());
      assertEquals(400, client.ask(extra).status(), broken);
    }
    assertTrue(after.watches.isEmpty());
    reload(good);
    while (client.ask(extra).status() != 200) {
      Thread.onSpinWait();
    }
    Peers.next(after.watches);
  }
}
