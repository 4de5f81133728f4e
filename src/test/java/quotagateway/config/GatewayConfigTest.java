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

/** What a configuration file is read as, and which files are rejected. */
class GatewayConfigTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @TempDir private Path folder;

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /** A start that fails must name the setting at fault, or nobody finds it at night. */
  @Test
  void rejectedConfigurationNamesTheSettingAtFault() throws Exception {
    String good = fixture.config();
    assertEquals(50, GatewayFixture.parse(good).settings().capabilities().counterTimeoutMs());
    for (String[] bad :
        new String[][] {
          {"127.0.0.1:0", "somewhere:80", "listen"},
          {"8c1f30d27a5be964", "seed", "seed"},
          {"\"Profiles\"", "\"Other\"", "classes"}
        }) {
      String message =
          assertThrows(
                  InvalidConfigurationException.class,
                  () -> GatewayFixture.parse(good.replace(bad[0], bad[1])))
              .getMessage();
      assertTrue(message.contains(bad[2]), message);
    }
  }

  @Test
  void rejectedValueOfAClassIsNamedWithItsClass() {
    String bad = fixture.config().replaceFirst("4000", "-4000");
    InvalidConfigurationException failure =
        assertThrows(InvalidConfigurationException.class, () -> GatewayFixture.parse(bad));
    assertEquals("settings.Profiles.quote.DeadlineMs", failure.key());
  }

  @Test
  void missingFileIsRejectedByItsName() {
    Path missing = folder.resolve("none.json");
    InvalidConfigurationException failure =
        assertThrows(InvalidConfigurationException.class, () -> ConfigurationFile.read(missing));
    assertEquals(missing.toString(), failure.key());
  }

  /** A key that is dropped would be read as 0 or as a default, and nobody would notice. */
  @Test
  void replacedFileMustHaveEveryKeyOfTheOneInUse() throws Exception {
    Path file = folder.resolve("config.json");
    String good = fixture.config();
    Files.writeString(file, good);
    GatewayConfig inUse = ConfigurationFile.read(file);
    assertEquals(inUse.settings(), ConfigurationFile.reread(file, inUse).settings());
    Files.writeString(file, good.replace("\"Refill\":400,", ""));
    ConfigurationFile.read(file);
    InvalidConfigurationException failure =
        assertThrows(
            InvalidConfigurationException.class, () -> ConfigurationFile.reread(file, inUse));
    assertEquals("settings.Tariffs.Refill", failure.key());
  }

  @Test
  void adminAddressOfTheEnvironmentComesBeforeThatOfTheFile() throws Exception {
    GatewayConfig config = GatewayFixture.parse(fixture.config());
    assertEquals(config, config.withAdminAddress(null));
    assertEquals(7, config.withAdminAddress("127.0.0.1:7").adminAddress().getPort());
    assertThrows(InvalidConfigurationException.class, () -> config.withAdminAddress("nowhere"));
  }

  @Test
  void counterAddressMayLackWhereThereIsNoSharedCounter() throws Exception {
    String counter = "\"counter\":\"127.0.0.1:" + fixture.counter.port() + "\",";
    String without = fixture.config().replace(counter, "");
    assertThrows(InvalidConfigurationException.class, () -> GatewayFixture.parse(without));
    GatewayConfig config =
        GatewayFixture.parse(without.replace("\"Counter\":true", "\"Counter\":false"));
    assertNull(config.counterAddress());
  }
}
