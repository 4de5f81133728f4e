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

/** Tests reloading the configuration while clients are served. */
@Timeout(30)
class ReloadTest {

  @TempDir private Path tempFolder;
  private final GatewayFixture before = new GatewayFixture();
  private final GatewayFixture after = new GatewayFixture();
  private Path file;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    file = tempFolder.resolve("config.json");
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
   * Discovery and the counter move to other addresses. The peers at the old addresses close their
   * connections after 1.5 s (the fakes keep them open), so the gateway must move to the new ones.
   * No request fails during the change, and the watch resumes from its last version.
   */
  @Test
  void changesDiscoveryAndCounterAddressesWithoutFailingRequests() throws Exception {
    TestClient client = before.client();
    assertEquals(200, client.exchange(TestRequests.get("r1", 3000)).status());
    TestQueues.next(before.counter.calls);
    reload(after.config());
    assertTrue(TestQueues.next(after.discovery.watches).contains("index=7 "));
    after.discovery.send(EndpointListJson.list(8, false) + "\n");
    int requestNumber = 0;
    while (after.counter.calls.poll(20, TimeUnit.MILLISECONDS) == null) {
      assertEquals(200, client.exchange(TestRequests.get("m" + requestNumber++, 3000)).status());
    }
    before.counter.calls.clear();
    assertEquals(200, client.exchange(TestRequests.get("r2", 3000)).status());
    TestQueues.next(after.counter.calls);
    assertTrue(before.counter.calls.isEmpty());
    assertTrue(before.discovery.watches.isEmpty());
  }

  /**
   * The file is truncated, contains an invalid address, or is missing. The addresses in use remain.
   */
  @Test
  void rejectedFileDoesNotChangeAddresses() throws Exception {
    reload("{\"discovery\":");
    reload(after.config().replace("\"discovery\":\"127.0.0.1", "\"discovery\":\"nowhere"));
    Files.delete(file);
    gateway.reload(file);
    TestClient client = before.client();
    assertEquals(200, client.exchange(TestRequests.get("r1", 3000)).status());
    TestQueues.next(before.counter.calls);
    before.discovery.send(EndpointListJson.list(8, true) + "\n");
    for (int requestNumber = 0;
        client.exchange(TestRequests.get("r" + requestNumber, 500)).status() == 200;
        requestNumber++) {
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

  private String configWithOwnBackend() {
    return before.config(EndpointListJson.entry("s-1", before.backend.port(), "active"));
  }

  @Test
  void addedClassIsServedAtOnceAndRemovedClassForATransitionalPeriod() throws Exception {
    TestClient client = before.client();
    String extraClassRequest = TestRequests.get("r1", 3000).replace("quote", "extra");
    assertEquals(400, client.exchange(extraClassRequest).status());
    reload(
        withClass(configWithOwnBackend(), "extra", "pure")
            .replace("\"Name\":\"quote\"", "\"Name\":\"other\""));
    while (client.exchange(extraClassRequest).status() != 200) {
      Thread.onSpinWait();
    }
    assertEquals(
        200,
        client.exchange(TestRequests.get("r2", 3000)).status(),
        "requests under way still name the removed class");
    for (int requestNumber = 0;
        client.exchange(TestRequests.get("r" + requestNumber, 3000)).status() == 200;
        requestNumber++) {
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertEquals(400, client.exchange(TestRequests.get("r4", 3000)).status());
    assertEquals(200, client.exchange(extraClassRequest).status());
  }

  /**
   * Clients use the old method until they learn of the change, so both methods are accepted for a
   * transitional period.
   */
  @Test
  void classWithChangedIdempotencyAcceptsBothMethods() throws Exception {
    TestClient client = before.client();
    String requestWithKey = TestRequests.post("p1", "b").replace("buy", "quote");
    assertEquals(400, client.exchange(requestWithKey).status());
    reload(
        configWithOwnBackend()
            .replace("\"quote\",\"Repeat\":\"pure\"", "\"quote\",\"Repeat\":\"token\""));
    while (client.exchange(requestWithKey).status() != 200) {
      Thread.onSpinWait();
    }
    assertEquals(200, client.exchange(TestRequests.get("r1", 3000)).status());
  }

  /**
   * A request whose class exists only in the previous settings is read with those, even if it
   * arrives after the reload. It must get the number of attempts that the previous settings allow.
   */
  @Test
  void requestReadWithPreviousSettingsGetsTheirNumberOfAttempts() throws Exception {
    TestClient client = before.client();
    reload(
        withClass(configWithOwnBackend(), "extra", "pure")
            .replace("\"MaxAttempts\":6", "\"MaxAttempts\":1"));
    while (client.exchange(TestRequests.get("e1", 3000).replace("quote", "extra")).status()
        == 400) {
      Thread.onSpinWait();
    }
    reload(
        withClass(configWithOwnBackend(), "extra", "pure")
            .replace("\"Name\":\"quote\"", "\"Name\":\"other\""));
    while (client.exchange(TestRequests.get("o1", 3000).replace("quote", "other")).status()
        == 400) {
      Thread.onSpinWait();
    }
    before.backend.responder =
        (request, out) -> TextStreams.write(out, FakeBackend.NOT_STARTED_RESPONSE);
    before.backend.received.clear();
    assertEquals(503, client.exchange(TestRequests.get("r1", 3000)).status());
    assertEquals(1, before.backend.received.size());
  }

  /**
   * A file with one error, a new class and a new address is rejected completely: neither the class
   * nor the address takes effect. The same file without the error then applies both.
   */
  @Test
  void rejectedFileIsNotAppliedInPart() throws Exception {
    String validConfig =
        withClass(configWithOwnBackend(), "extra", "pure")
            .replace("127.0.0.1:" + before.discovery.port(), "127.0.0.1:" + after.discovery.port());
    String extraClassRequest = TestRequests.get("r1", 3000).replace("quote", "extra");
    TestClient client = before.client();
    for (String invalidConfig :
        new String[] {
          "",
          "{}",
          validConfig.substring(0, validConfig.length() / 2),
          validConfig + "}",
          validConfig.replaceAll("\"settings\"", "\"setings\""),
          validConfig.replace("\"MaxAttempts\":6,", ""),
          validConfig.replace("\"MaxAttempts\":6", "\"MaxAttempts\":0"),
          validConfig.replace("\"MaxAttempts\":6", "\"MaxAttempts\":\"6\""),
          validConfig.replaceFirst("\"DeadlineMs\":4000,", ""),
          validConfig.replaceFirst("4000", "-4000"),
          validConfig.replaceFirst("4000", "null"),
          validConfig.replaceFirst("\"pure\"", "\"sometimes\""),
          validConfig.replaceFirst("\"Repeat\":\"pure\",", ""),
          validConfig.replace("\"Rules\"", "\"Rule\""),
          validConfig.replace("\"counter\":", "\"count\":"),
          validConfig.replace("\"Refill\":400,", "")
        }) {
      reload(invalidConfig);
      // By the second request, the event loop has run any task that the reload submitted.
      assertEquals(
          200, client.exchange(TestRequests.get("g" + invalidConfig.hashCode(), 3000)).status());
      assertEquals(400, client.exchange(extraClassRequest).status(), invalidConfig);
    }
    assertTrue(after.discovery.watches.isEmpty());
    reload(validConfig);
    while (client.exchange(extraClassRequest).status() != 200) {
      Thread.onSpinWait();
    }
    TestQueues.next(after.discovery.watches);
  }
}
