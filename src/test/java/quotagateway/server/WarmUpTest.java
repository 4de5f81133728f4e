package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestQueues;
import quotagateway.testing.TestRequests;

/** Tests the synthetic requests that are served before clients are accepted. */
@Timeout(30)
class WarmUpTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * On a fraction of a core the same work takes longer. If it were cut off, the rest would be left
   * to the first clients' requests.
   */
  @Test
  void timeLimitIsInverselyProportionalToTheShareOfACore() throws Exception {
    String fullCoreConfig = fixture.smallConfig();
    String quarterCoreConfig = fullCoreConfig.replace("\"cores\":1", "\"cores\":0.25");
    assertEquals(
        4 * new WarmUp(GatewayFixture.parse(fullCoreConfig)).timeLimitMs(),
        new WarmUp(GatewayFixture.parse(quarterCoreConfig)).timeLimitMs(),
        1e-6);
  }

  /**
   * Requests that are rejected early would not warm up the code, and requests that reach a peer
   * would charge customers.
   */
  @Test
  void servesRequestsWithoutContactingPeers() throws Exception {
    String config = fixture.config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"));
    int served = new WarmUp(GatewayFixture.parse(config)).run(20_000);
    assertTrue(served > WarmUp.REQUESTS / 2, served + " served");
    assertTrue(
        fixture.backend.received.isEmpty()
            && fixture.counter.calls.isEmpty()
            && fixture.discovery.watches.isEmpty());
    fixture.start(config);
    assertEquals(200, fixture.client().exchange(TestRequests.get("real", 3000)).status());
    assertEquals("real", TestQueues.next(fixture.backend.received).header("Request-Id"));
  }
}
