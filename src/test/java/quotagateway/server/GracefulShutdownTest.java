package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestRequests;
import quotagateway.testing.TextStreams;

/** Tests the end of a graceful shutdown with sockets. */
@Timeout(60)
class GracefulShutdownTest {

  private static final int CLIENTS = 48;
  private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;

  /** More than the buffers of both sockets hold, in different sizes. */
  private static final int MIN_RESPONSE_BYTES = 800_000;

  private static final int SIZE_STEP_BYTES = 2_500;

  /** Longer than the shutdown waits for requests without a response. */
  private static final long UNREAD_MS = 5_000;

  private final GatewayFixture fixture = new GatewayFixture();
  private final List<Socket> sockets = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (Socket socket : sockets) {
      socket.close();
    }
    fixture.close();
  }

  private static int responseBytes(int client) {
    return MIN_RESPONSE_BYTES + client * SIZE_STEP_BYTES;
  }

  /** Returns an identifier that tells the backend the size of the response. */
  private static String requestId(int client) {
    return "r" + responseBytes(client);
  }

  private void connect(GatewayServer gateway, int client) throws Exception {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(gateway.address());
    TextStreams.write(socket.getOutputStream(), TestRequests.get(requestId(client), 4000));
  }

  /** Reads a response until its end waits in the gateway or in the sockets alone. */
  private int readUntilBackendHasSentAll(GatewayServer gateway, int client) throws Exception {
    InputStream in = sockets.get(client).getInputStream();
    byte[] part = new byte[1_024];
    int received = 0;
    while (isActive(gateway, requestId(client))) {
      received += in.available() > 0 ? in.read(part) : 0;
    }
    return received;
  }

  private static boolean isActive(GatewayServer gateway, String id) throws Exception {
    return gateway.eventLoop.submit(() -> gateway.clients().driver().isActive(id)).get();
  }

  /**
   * Clients read the ends of large responses after the backend has sent all of them. The gateway
   * closed such connections during the shutdown, and the process ended once no backend was sending,
   * so that the clients got only a part of their responses.
   */
  @Test
  void shutdownEndsAfterTheLastByteOfAllResponses() throws Exception {
    fixture.backend.responder =
        (request, out) -> {
          int bytes = Integer.parseInt(request.header("Request-Id").substring(1));
          TextStreams.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
          out.write(new byte[bytes]);
          return true;
        };
    GatewayServer gateway = fixture.start();
    for (int client = 0; client < CLIENTS; client++) {
      connect(gateway, client);
    }
    while (fixture.backend.received.size() < CLIENTS) {
      Thread.onSpinWait();
    }
    int[] received = new int[CLIENTS];
    for (int client = 0; client < CLIENTS; client++) {
      received[client] = readUntilBackendHasSentAll(gateway, client);
    }
    Thread shutdown = new Thread(gateway::shutDownGracefully);
    shutdown.start();
    shutdown.join(UNREAD_MS);
    for (int client = 0; client < CLIENTS; client++) {
      received[client] += sockets.get(client).getInputStream().readAllBytes().length;
      assertTrue(
          received[client] > responseBytes(client),
          received[client] + " bytes of a response with " + responseBytes(client));
    }
    shutdown.join(TimeUnit.SECONDS.toMillis(10));
    assertFalse(shutdown.isAlive(), "the shutdown does not end after the responses");
  }
}
