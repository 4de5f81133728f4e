package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.config.InvalidConfigurationException;
import quotagateway.testing.GatewayFixture;

/** Starts that fail before anything is opened. */
class ServeCommandTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @TempDir private Path folder;

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static String keyAtFault(Map<String, String> environment) {
    return assertThrows(InvalidConfigurationException.class, () -> ServeCommand.run(environment))
        .key();
  }

  @Test
  void missingVariableIsNamed() {
    assertEquals("GW_CONFIG", keyAtFault(Map.of()));
  }

  @Test
  void missingFileIsNamed() {
    String file = folder.resolve("none.json").toString();
    assertEquals(file, keyAtFault(Map.of("GW_CONFIG", file)));
  }

  /** The environment goes before the file, so a wrong address in it must not be passed over. */
  @Test
  void invalidAdminAddressOfTheEnvironmentIsNamed() throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, fixture.config());
    assertEquals("mgmt", keyAtFault(Map.of("GW_CONFIG", file.toString(), "GW_MGMT", "nowhere")));
  }
}
