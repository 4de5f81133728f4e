package quotagateway.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.testing.GatewayFixture;

/** Tests how configuration files are parsed and which files are rejected. */
class GatewayConfigTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @TempDir private Path folder;

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /** If a start fails, the message must name the invalid setting, so that operators can find it. */
  @Test
  void rejectionNamesInvalidSetting() throws Exception {
    String validConfig = fixture.config();
    assertEquals(
        50, GatewayFixture.parse(validConfig).settings().capabilities().counterTimeoutMs());
    for (String[] replacement :
        new String[][] {
          {"127.0.0.1:0", "somewhere:80", "listen"},
          {"8c1f30d27a5be964", "seed", "seed"},
          {"\"Profiles\"", "\"Other\"", "classes"}
        }) {
      String message =
          assertThrows(
                  InvalidConfigurationException.class,
                  () -> GatewayFixture.parse(validConfig.replace(replacement[0], replacement[1])))
              .getMessage();
      assertTrue(message.contains(replacement[2]), message);
    }
  }

  @Test
  void rejectionOfInvalidClassValueNamesTheClass() {
    String invalidConfig = fixture.config().replaceFirst("4000", "-4000");
    InvalidConfigurationException exception =
        assertThrows(
            InvalidConfigurationException.class, () -> GatewayFixture.parse(invalidConfig));
    assertEquals("settings.Profiles.quote.DeadlineMs", exception.key());
  }

  @Test
  void rejectionOfMissingFileNamesTheFile() {
    Path missing = folder.resolve("none.json");
    InvalidConfigurationException exception =
        assertThrows(InvalidConfigurationException.class, () -> ConfigurationFile.read(missing));
    assertEquals(missing.toString(), exception.key());
  }

  /** A missing key would be read as 0 or as a default, and the change would go unnoticed. */
  @Test
  void reloadRejectsFileThatLacksKeyOfConfigurationInUse() throws Exception {
    Path file = folder.resolve("config.json");
    String validConfig = fixture.config();
    Files.writeString(file, validConfig);
    GatewayConfig inUse = ConfigurationFile.read(file);
    assertEquals(inUse.settings(), ConfigurationFile.readForReload(file, inUse).settings());
    Files.writeString(file, validConfig.replace("\"Refill\":400,", ""));
    ConfigurationFile.read(file);
    InvalidConfigurationException exception =
        assertThrows(
            InvalidConfigurationException.class,
            () -> ConfigurationFile.readForReload(file, inUse));
    assertEquals("settings.Tariffs.Refill", exception.key());
  }

  @Test
  void adminAddressFromEnvironmentOverridesFile() throws Exception {
    GatewayConfig config = GatewayFixture.parse(fixture.config());
    assertEquals(config, config.withAdminAddress(null));
    assertEquals(7, config.withAdminAddress("127.0.0.1:7").adminAddress().getPort());
    assertThrows(InvalidConfigurationException.class, () -> config.withAdminAddress("nowhere"));
  }

  @Test
  void counterAddressIsOptionalWithoutSharedCounter() throws Exception {
    String counter = "\"counter\":\"127.0.0.1:" + fixture.counter.port() + "\",";
    String withoutCounter = fixture.config().replace(counter, "");
    assertThrows(InvalidConfigurationException.class, () -> GatewayFixture.parse(withoutCounter));
    GatewayConfig config =
        GatewayFixture.parse(withoutCounter.replace("\"Counter\":true", "\"Counter\":false"));
    assertNull(config.counterAddress());
  }
}
