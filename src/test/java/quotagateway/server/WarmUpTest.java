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

/** The made-up requests before clients are accepted. */
@Timeout(30)
class WarmUpTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * On a part of a core the same work takes longer; cut off, it would be left to the first clients.
   */
  @Test
  void timeLimitGrowsAsThePartOfACoreShrinks() throws Exception {
    String whole = fixture.smallConfig();
    String part = whole.replace("\"cores\":1", "\"cores\":0.25");
    assertEquals(
        4 * new WarmUp(GatewayFixture.parse(whole)).timeLimitMs(),
        new WarmUp(GatewayFixture.parse(part)).timeLimitMs(),
        1e-6);
  }

  /**
   * Requests that were rejected early would warm up nothing, and ones that reached a peer would
   * charge customers.
   */
  @Test
  void requestsAreServedWithoutASocket() throws Exception {
    String config = fixture.config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"));
    int served = new WarmUp(GatewayFixture.parse(config)).run(20_000);
    assertTrue(served > WarmUp.REQUESTS / 2, served + " served");
    assertTrue(
        fixture.backend.received.isEmpty()
            && fixture.counter.calls.isEmpty()
            && fixture.discovery.watches.isEmpty());
    fixture.start(config);
    assertEquals(200, fixture.client().ask(TestRequests.get("real", 3000)).status());
    assertEquals("real", TestQueues.next(fixture.backend.received).header("Request-Id"));
  }
}
