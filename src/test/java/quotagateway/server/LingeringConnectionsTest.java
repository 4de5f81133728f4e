package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestRequests;

/** Tests that answered connections which linger give way to new clients. */
@Timeout(40)
class LingeringConnectionsTest {

  /** Longer than clients take to read an error, and shorter than connections linger. */
  private static final long SILENCE_MS = 100;

  private static final String INVALID_REQUEST = "GET / HTTP/1.1\r\nHost x\r\n\r\n";

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  @Test
  void lingeringConnectionsDoNotLeaveNewClientsUnanswered() throws Exception {
    GatewayServer gateway = fixture.start(fixture.smallConfig());
    openLingeringConnections();
    gateway.eventLoop.schedule(() -> {}, SILENCE_MS, TimeUnit.MILLISECONDS).sync();
    assertNewClientIsAnswered();
  }

  @Test
  void clientsAmongManyErrorsAreNotLeftUnanswered() throws Exception {
    fixture.start(fixture.smallConfig());
    for (int i = 0; i < 3; i++) {
      openLingeringConnections();
      assertNewClientIsAnswered();
    }
  }

  private void openLingeringConnections() throws IOException {
    for (int i = 0; i < 2 * GatewayFixture.FEW_CLIENT_CONNECTIONS; i++) {
      fixture.client().send(INVALID_REQUEST);
    }
  }

  /** A new client is rejected, or served if the connections have ended meanwhile. */
  private void assertNewClientIsAnswered() throws IOException {
    int status = fixture.client().exchange(TestRequests.get("r1", 3000)).status();
    assertTrue(status == 503 || status == 200, "status " + status);
  }
}
