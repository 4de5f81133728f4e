package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestClient;
import quotagateway.testing.TestLatches;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/** Tests that connections to backends give way to clients while they are idle. */
@Timeout(40)
class IdleBackendConnectionsTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  @Test
  void idleBackendConnectionsDoNotLockOutNewClients() throws Exception {
    fixture.start(fixture.smallConfig());
    openIdleBackendConnections(GatewayFixture.FEW_CLIENT_CONNECTIONS / 2);
    List<TestClient> clients = new ArrayList<>();
    for (int i = 0; i < GatewayFixture.FEW_CLIENT_CONNECTIONS; i++) {
      clients.add(fixture.client());
    }
    for (TestClient client : clients) {
      assertEquals(200, client.exchange(TestRequests.get("after", 3000)).status());
    }
  }

  /** Has requests served at the same time, each of which takes a connection of its own. */
  private void openIdleBackendConnections(int count) throws IOException {
    CountDownLatch allReceived = new CountDownLatch(count);
    fixture.backend.responder =
        (request, out) -> {
          allReceived.countDown();
          TestLatches.await(allReceived);
          return TextStreams.write(out, FakeBackend.OK_RESPONSE);
        };
    List<TestClient> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      TestClient client = fixture.client();
      client.send(TestRequests.get("burst" + i, 3000));
      clients.add(client);
    }
    for (TestClient client : clients) {
      assertEquals(200, client.receive().status());
      client.close();
    }
  }
}
