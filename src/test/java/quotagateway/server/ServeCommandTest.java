package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.testing.GatewayFixture;

/** Tests starts that fail. */
class ServeCommandTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @TempDir private Path tempFolder;

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static String rejectedKey(Map<String, String> environment) {
    return assertThrows(InvalidConfigurationException.class, () -> ServeCommand.run(environment))
        .key();
  }

  @Test
  void reportsMissingConfigurationVariable() {
    assertEquals("GW_CONFIG", rejectedKey(Map.of()));
  }

  @Test
  void reportsMissingConfigurationFile() {
    String file = tempFolder.resolve("none.json").toString();
    assertEquals(file, rejectedKey(Map.of("GW_CONFIG", file)));
  }

  /**
   * The environment takes precedence over the file, so an invalid address in the environment must
   * not be ignored.
   */
  @Test
  void reportsInvalidAdminAddressFromEnvironment() throws Exception {
    Path file = tempFolder.resolve("config.json");
    Files.writeString(file, fixture.config());
    assertEquals("mgmt", rejectedKey(Map.of("GW_CONFIG", file.toString(), "GW_MGMT", "nowhere")));
  }

  @Test
  void shutdownAfterFailedStartDoesNotThrow() throws Exception {
    AtomicReference<GatewayServer> failed = new AtomicReference<>();
    try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String config =
          fixture
              .config()
              .replace(
                  "\"listen\":\"127.0.0.1:0\"",
                  "\"listen\":\"127.0.0.1:" + other.getLocalPort() + "\"");
      assertThrows(
          BindException.class,
          () -> GatewayServer.start(GatewayFixture.parse(config), tempFolder, failed::set));
    }
    assertDoesNotThrow(() -> failed.get().shutDownGracefully());
  }
}
